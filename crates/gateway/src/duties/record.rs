//! The row that holds the lease and all that was decided under it.

use {
    serde::{Deserialize, Serialize},
    tealshore_capacity::EngineOrder,
    tealshore_duties::{lease::LeaseRecord, usage::UsageRecord},
};

/// The version of the row's layout, its first byte. A host that can't read a row takes no part in the
/// duties until one that can has written it.
const LAYOUT_VERSION: u8 = 1;

/// The row that holds the lease and all that was decided under it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// The lease.
    pub lease: LeaseRecord,
    /// How far usage is reported.
    pub usage: UsageRecord,
    /// The last orders for engines, one for each service, hall and kind.
    pub orders: Vec<PlacedOrder>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderState {
    /// It is to be sent, until the platform answers.
    Open,
    /// The platform accepted it.
    Accepted,
    /// The platform has none to give, and did nothing.
    Unavailable,
}

/// An order for engines, and how far it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedOrder {
    /// The order.
    pub order: EngineOrder,
    /// What became of it.
    pub state: OrderState,
}

impl DutyRecord {
    /// Notes a new order in place of the one before.
    pub fn place(&mut self, order: EngineOrder) {
        self.orders.retain(|placed| {
            let known = &placed.order;
            known.service != order.service || known.hall != order.hall || known.kind != order.kind
        });
        self.orders.push(PlacedOrder {
            order,
            state: OrderState::Open,
        });
    }

    /// Notes what became of an order, unless another one took its place.
    pub fn note_outcome(&mut self, order: &EngineOrder, state: OrderState) {
        let placed = self.orders.iter_mut().find(|placed| placed.order == *order);
        if let Some(placed) = placed {
            placed.state = state;
        }
    }

    /// The bytes that the store keeps.
    ///
    /// # Errors
    /// A value can't be written; none of these types has such.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![LAYOUT_VERSION])
    }

    /// Reads what the store kept.
    ///
    /// # Errors
    /// The layout is another one, or the bytes are damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, String> {
        match bytes.split_first() {
            Some((&LAYOUT_VERSION, rest)) => {
                postcard::from_bytes(rest).map_err(|error| error.to_string())
            }
            other => Err(format!(
                "layout version {:?}, not {LAYOUT_VERSION}",
                other.map(|(version, _)| version)
            )),
        }
    }
}
