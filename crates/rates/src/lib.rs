//! Rates that all hosts share: how often an upstream may be sent to by all of them together, by the limit that
//! it names in its answers. Pure decisions: the time, chance and all that was heard come in as arguments.

mod known;
mod named;

pub use {
    known::{KnownLimits, LimitChange, LimitNews, MOST_UPSTREAMS},
    named::LimitNamed,
};
