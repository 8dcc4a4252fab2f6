//! Background tasks that collect external state: the host list, engine loads, declarations and
//! hints of peers.

mod declarations;
mod hints;
mod hosts;
mod loads;

use {crate::state::RouterState, std::sync::Arc};

/// Spawns all collectors; they run until the process exits.
pub fn start(state: &Arc<RouterState>) {
    tokio::spawn(hosts::collect(state.clone()));
    tokio::spawn(loads::collect(state.clone()));
    tokio::spawn(declarations::collect(state.clone()));
    tokio::spawn(hints::exchange(state.clone()));
}
