//! A stand-in for a model engine: continuous batching with a prefill cost per token, a step
//! time, a bounded KV cache, priorities and a lagging load report.

mod batch;
mod server;

pub use {
    batch::{Batch, EngineOptions, ReadResult, WorkCounts},
    server::{EngineFaults, serve},
};
