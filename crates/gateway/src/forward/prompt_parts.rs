//! Identifies the parts of prompts and what runs them.

use {
    crate::{edge::PromptShape, view::UpstreamRecord},
    tealshore_quarantine::parts::{PartId, RuntimeId},
    xxhash_rust::xxh3::{Xxh3, xxh3_64},
};

/// Maximum number of parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Returns the parts of a prompt that other requests may share, each once.
pub fn shared_part_ids(prompt: Option<&PromptShape>) -> Vec<PartId> {
    let ids = prompt.into_iter().flat_map(|prompt| &prompt.shared_parts);
    let mut parts: Vec<PartId> = Vec::new();
    for part in ids.map(|id| xxh3_64(id.as_bytes())) {
        if !parts.contains(&part) {
            parts.push(part);
        }
    }
    parts
}

/// Returns the digest of what runs a prompt at an upstream.
pub fn runtime_id(prompt: Option<&PromptShape>, record: &UpstreamRecord) -> RuntimeId {
    let mut digest = Xxh3::new();
    let model = prompt.map_or("", |prompt| prompt.model.as_str());
    for field in [&record.service, &record.version, model] {
        digest.update(&field.len().to_le_bytes());
        digest.update(field.as_bytes());
    }
    digest.digest()
}

/// Formats parts for a log line, `-` if there are none.
pub fn parts_hex(parts: &[PartId]) -> String {
    let shown = parts.iter().take(MAX_LOGGED_PARTS);
    let shown: Vec<String> = shown.map(|part| format!("{part:016x}")).collect();
    match shown.as_slice() {
        [] => "-".to_owned(),
        _ if parts.len() > MAX_LOGGED_PARTS => format!("{},...", shown.join(",")),
        _ => shown.join(","),
    }
}
