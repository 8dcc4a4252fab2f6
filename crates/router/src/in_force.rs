//! The declarations in force on this host. Their version never goes back.

use {
    parking_lot::RwLock,
    std::sync::Arc,
    tealshore_core::{
        ids::ConfigVersion,
        protection::{Protection, enabled},
        settings::SettingError,
    },
    tealshore_operators::{
        declarations::Declarations,
        edit::{StoredDeclarations, VersionedDeclarations},
    },
    tokio::sync::watch,
};

/// Declarations that a host runs.
pub struct Running {
    /// Their version.
    pub version: ConfigVersion,
    /// What the table stored.
    pub stored: StoredDeclarations,
    /// What they say.
    pub declarations: Declarations,
}

/// The declarations in force.
#[derive(Default)]
pub struct InForce {
    running: RwLock<Option<Arc<Running>>>,
    version: watch::Sender<ConfigVersion>,
}

impl InForce {
    /// What is in force now; none before the first.
    pub fn now(&self) -> Option<Arc<Running>> {
        self.running.read().clone()
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        self.running
            .read()
            .as_ref()
            .map_or(0, |running| running.version)
    }

    /// Ends when another version than this one is in force.
    pub async fn other_than(&self, version: ConfigVersion) {
        // The sender lives as long as this, so waiting can't fail.
        let _ = self
            .version
            .subscribe()
            .wait_for(|now| *now != version)
            .await;
    }

    /// Puts declarations in force unless they are older than what is; whether it did.
    ///
    /// # Errors
    /// The text is not allowed, so it can't have been accepted by this version of the system.
    pub fn apply(&self, new: VersionedDeclarations) -> Result<bool, SettingError> {
        let declarations = Declarations::parse(&new.stored.text)?;
        let mut running = self.running.write();
        let current = running.as_ref().map_or(0, |running| running.version);
        if new.version <= current && enabled(Protection::MonotonicVersion) {
            return Ok(false);
        }
        *running = Some(Arc::new(Running {
            version: new.version,
            stored: new.stored,
            declarations,
        }));
        self.version.send_replace(new.version);
        Ok(true)
    }
}
