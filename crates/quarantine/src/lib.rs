//! Detection of requests that crash the upstreams that run them, based on the observations of all hosts. The
//! decisions are pure: the time and all observations are arguments.
//!
//! [`crash`] determines which crashes incriminate a request, [`log`] stores a bounded number of crashes and
//! gives the verdict on a request, [`news`] defines the updates that hosts exchange and store, and
//! [`uncertain`] tracks suspected crashes that may turn out to be false. [`parts`] does the same for parts of
//! prompts that many requests share, and [`trial`] schedules who tries again after a quarantine.

#![deny(clippy::disallowed_methods)]

pub mod crash;
pub mod log;
pub mod news;
pub mod parts;
pub mod trial;
pub mod uncertain;

mod completed;
mod recent;
mod record;
