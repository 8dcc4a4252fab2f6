//! Detection of parts of prompts that crash each upstream which begins to answer on them.
//!
//! Requests that share such a part differ otherwise, so none of them crashes enough upstreams to be quarantined by
//! itself. [`crash`] describes one crash with the parts that may have caused it, [`suspects`] determines from all known
//! crashes which parts are suspected, [`log`] stores a bounded number of crashes and gives the verdict on a request,
//! and [`news`] defines what hosts exchange and store.

pub mod crash;
pub mod log;
pub mod news;
pub mod suspects;

mod begins;

/// Digest of the id of a part of a prompt.
pub type PartId = u64;
/// Digest of what runs a request: the service, the model, and the version of the upstream.
pub type RuntimeId = u64;
/// Digest that identifies one run of a request on an upstream.
pub type RunId = u64;
