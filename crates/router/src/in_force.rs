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
pub struct ActiveDeclarations {
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
    active: RwLock<Option<Arc<ActiveDeclarations>>>,
    version: watch::Sender<ConfigVersion>,
}

impl InForce {
    /// What is in force now; none before the first.
    pub fn now(&self) -> Option<Arc<ActiveDeclarations>> {
        self.active.read().clone()
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        self.active
            .read()
            .as_ref()
            .map_or(0, |active| active.version)
    }

    /// Ends when another version than this one is in force.
    pub async fn changed_from(&self, version: ConfigVersion) {
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
        let mut active = self.active.write();
        let current = active.as_ref().map_or(0, |active| active.version);
        if new.version <= current && enabled(Protection::MonotonicVersion) {
            return Ok(false);
        }
        *active = Some(Arc::new(ActiveDeclarations {
            version: new.version,
            stored: new.stored,
            declarations,
        }));
        self.version.send_replace(new.version);
        Ok(true)
    }
}
