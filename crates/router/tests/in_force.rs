//! The version of the declarations in force never decreases.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    tealshore_core::protection,
    tealshore_operators::edit::{StoredDeclarations, VersionedDeclarations},
    tealshore_router::in_force::InForce,
};

fn version(version: u64) -> VersionedDeclarations {
    let stored = StoredDeclarations {
        edit_id: format!("edit-{version}"),
        author: String::new(),
        text: String::new(),
    };
    VersionedDeclarations { version, stored }
}

#[test]
fn a_lower_version_is_never_applied() {
    protection::start();
    let in_force = InForce::default();
    assert_eq!(in_force.apply(version(2)), Ok(true));
    assert_eq!(in_force.apply(version(1)), Ok(false));
    assert_eq!(in_force.apply(version(2)), Ok(false));
    assert_eq!(in_force.version(), 2);
    assert_eq!(in_force.apply(version(3)), Ok(true));
    assert_eq!(in_force.version(), 3);
}
