//! The peer that serves plain calls.
