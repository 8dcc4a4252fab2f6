//! Which requests crash the upstreams that run them, from what all hosts saw. Pure decisions: the time
//! and all that was seen come in as arguments.
//!
//! [`crash`] says which crashes speak against a request; [`log`] keeps them within bounds and gives the
//! verdict; [`news`] is what hosts tell each other and keep in the store; [`uncertain`] keeps ends of upstreams that may
//! turn out to be none.

pub mod crash;
pub mod log;
pub mod news;
pub mod uncertain;

mod completed;
mod record;
