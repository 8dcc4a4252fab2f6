//! The declarations in force on this host. Their version only increases.

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

/// Declarations with the version and the stored form that they were parsed from.
pub struct ActiveDeclarations {
    /// Version of the declarations.
    pub version: ConfigVersion,
    /// The declarations as stored in the table.
    pub stored: StoredDeclarations,
    /// The parsed declarations.
    pub declarations: Declarations,
}

/// Holds the declarations in force and notifies waiters when they change.
#[derive(Default)]
pub struct InForce {
    active: RwLock<Option<Arc<ActiveDeclarations>>>,
    version: watch::Sender<ConfigVersion>,
}

impl InForce {
    /// The declarations in force; `None` before the first are applied.
    pub fn now(&self) -> Option<Arc<ActiveDeclarations>> {
        self.active.read().clone()
    }

    /// The version in force; 0 before the first declarations are applied.
    pub fn version(&self) -> ConfigVersion {
        self.active
            .read()
            .as_ref()
            .map_or(0, |active| active.version)
    }

    /// Returns once a version other than `version` is in force.
    pub async fn changed_from(&self, version: ConfigVersion) {
        // Waiting cannot fail, since `self` keeps the sender alive.
        let _ = self
            .version
            .subscribe()
            .wait_for(|now| *now != version)
            .await;
    }

    /// Applies declarations if their version is higher than the one in force, and returns whether
    /// they were applied.
    ///
    /// # Errors
    /// Returns an error if the text is invalid. Declarations are checked before they are stored,
    /// so such a text was accepted by another version of the system.
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
