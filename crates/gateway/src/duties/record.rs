//! The stored row that contains the lease and the decisions made under it.

use {
    serde::{Deserialize, Serialize},
    tealshore_capacity::EngineOrder,
    tealshore_duties::{lease::LeaseRecord, usage::UsageRecord},
};

/// Version of the row's layout, stored in its first byte. A host that can't read the row does not
/// take part in the duties until a host that can has overwritten it.
const LAYOUT_VERSION: u8 = 1;

/// The row that contains the lease and the decisions made under it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// The lease.
    pub lease: LeaseRecord,
    /// Progress of the usage reports.
    pub usage: UsageRecord,
    /// The latest orders for engines, one per service, hall and kind.
    pub orders: Vec<PlacedOrder>,
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderState {
    /// Not answered by the platform yet, so it has to be sent.
    Open,
    /// The platform accepted it.
    Accepted,
    /// The platform has no such engines available and did nothing.
    Unavailable,
}

/// An order for engines and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedOrder {
    /// The order.
    pub order: EngineOrder,
    /// Its progress.
    pub state: OrderState,
}

impl DutyRecord {
    /// Adds an open order, replacing the previous one for the same service, hall and kind.
    pub fn place_order(&mut self, order: EngineOrder) {
        self.orders.retain(|placed| {
            let known = &placed.order;
            known.service != order.service || known.hall != order.hall || known.kind != order.kind
        });
        self.orders.push(PlacedOrder {
            order,
            state: OrderState::Open,
        });
    }

    /// Records the outcome of an order unless another one has replaced it.
    pub fn record_outcome(&mut self, order: &EngineOrder, state: OrderState) {
        let placed = self.orders.iter_mut().find(|placed| placed.order == *order);
        if let Some(placed) = placed {
            placed.state = state;
        }
    }

    /// Encodes the record as stored.
    ///
    /// # Errors
    /// A value can't be encoded; this does not happen with these types.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![LAYOUT_VERSION])
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    /// The layout version differs, or the bytes are damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, String> {
        match bytes.split_first() {
            Some((&LAYOUT_VERSION, rest)) => {
                postcard::from_bytes(rest).map_err(|error| error.to_string())
            }
            other => Err(format!(
                "layout version {:?}, expected {LAYOUT_VERSION}",
                other.map(|(version, _)| version)
            )),
        }
    }
}
