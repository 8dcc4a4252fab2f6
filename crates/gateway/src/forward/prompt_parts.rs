//! Identifies the parts of prompts.

use {crate::edge::PromptShape, tealshore_quarantine::parts::PartId, xxhash_rust::xxh3::xxh3_64};

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
