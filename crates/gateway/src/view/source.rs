//! From whom this host learned the state of its view, for logs.

use {
    super::View,
    crate::edge::{StoreEra, era_of},
    std::{
        fmt::{Display, Formatter, Result},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{ConfigVersion, HostId},
};

/// The source of the answer from which the age of the view counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ViewSource {
    /// There was no answer yet.
    #[default]
    Nobody,
    /// An answer of the store to this host.
    Store,
    /// The watermark of the host that feeds this one.
    Feeder(HostId),
    /// The copy that the host at this address served.
    Snapshot(SocketAddr),
}

impl Display for ViewSource {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        match self {
            Self::Nobody => formatter.write_str("-"),
            Self::Store => formatter.write_str("store"),
            Self::Feeder(host) => write!(formatter, "feeder:{host}"),
            Self::Snapshot(address) => write!(formatter, "snapshot:{address}"),
        }
    }
}

/// What a decision about a request relied on, for logs.
#[derive(Clone, Debug, Default)]
pub struct ViewFacts {
    /// The version of the configuration in force.
    pub version: ConfigVersion,
    /// The store era of its row.
    pub era: StoreEra,
    /// The age of the view; `None` if it was never confirmed.
    pub age: Option<Duration>,
    /// From whose answer the age counts.
    pub source: Arc<ViewSource>,
}

impl ViewFacts {
    /// Reads the facts of a view.
    #[must_use]
    pub fn of(view: &View, now: Instant) -> Self {
        Self {
            version: view.version(),
            era: era_of(view.configuration_revision()),
            age: view.age(now),
            source: view.source(),
        }
    }
}

impl Display for ViewFacts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(
            formatter,
            "configuration={} era={} view_age_ms={:?} view_source={}",
            self.version,
            self.era,
            self.age.map(|age| age.as_millis()),
            self.source
        )
    }
}
