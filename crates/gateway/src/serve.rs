//! Serves requests of callers, the platform's checks and operators.

mod ended;
mod host_calls;
mod ingress;
mod refusal;
mod tunnel;
mod unanswered;
mod unread;

pub use {host_calls::answer_host_call, ingress::answer_caller, tunnel::serve_tunnels};
