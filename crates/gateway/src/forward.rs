//! Forwards requests to upstreams and returns their answers.

mod call;
mod connect;
mod dial;
mod ending;
mod plain;
mod probe;
mod prompt_parts;
mod reservation;
mod stall;
mod stream;
mod unframed_end;
mod whole_answer;

pub use {
    call::{Call, MAX_HOLD, content_digest_of, fingerprint_of, strip_connection_headers},
    dial::{DialFailure, dial_directly},
    ending::{LostRequest, UpstreamKind},
    plain::run as run_plain,
    prompt_parts::shared_part_ids,
    stream::run as run_stream,
};
