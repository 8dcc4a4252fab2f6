//! The peer that keeps objects: the platform's object store.
