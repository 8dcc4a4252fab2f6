//! Reads the outside: the host list, loads, declarations, and what peers say.

mod declarations;
mod hints;
mod hosts;
mod loads;

use {crate::state::RouterState, std::sync::Arc};

/// Starts all collectors; they run until the process ends.
pub fn start(state: &Arc<RouterState>) {
    tokio::spawn(hosts::collect(state.clone()));
    tokio::spawn(loads::collect(state.clone()));
    tokio::spawn(declarations::collect(state.clone()));
    tokio::spawn(hints::exchange(state.clone()));
}
