//! Stand-in for a model engine: continuous batching with a prefill cost per token, a fixed step time,
//! a bounded KV cache, priorities and a delayed load report.

mod batch;
mod server;

pub use {
    batch::{Batch, EngineOptions, ReadResult, WorkCounts},
    server::{EngineFaults, serve},
};
