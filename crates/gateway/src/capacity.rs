//! Which engines this host would order while it holds the duties.

use {
    crate::{duties::PlacedOrder, state::GatewayState},
    std::time::Instant,
    tealshore_capacity::EngineOrder,
};

/// Orders that differ from what was ordered before.
pub fn wanted(state: &GatewayState, ordered: &[PlacedOrder], now: Instant) -> Vec<EngineOrder> {
    let _ = (state, ordered, now);
    Vec::new()
}
