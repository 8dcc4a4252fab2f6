//! Parts of prompts that several requests share.

/// Digest of the id of a part of a prompt.
pub type PartId = u64;
