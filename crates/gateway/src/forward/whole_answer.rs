//! Reads whole answers of upstreams within this host's memory for answers.

use {
    crate::connection::AnswerBody,
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// The size up to which an answer takes no memory from the others, so that those of sound upstreams are read although a
/// faulty one sends large ones.
const UNCOUNTED_BYTES: usize = 64 * 1024;
/// How many bytes are counted for each byte of an answer: its buffer doubles as it grows.
const COUNTED_PER_BYTE: usize = 2;

/// Why an answer could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// It exceeds the size limit.
    TooLarge,
    /// Other large answers take up the memory for answers.
    NoMemory,
    /// It ended early.
    Broken,
}

impl AnswerFault {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "answer-too-large",
            Self::NoMemory => "answer-memory",
            Self::Broken => "body-broken",
        }
    }
}

/// An answer that counts as memory until it has been passed on.
struct CountedAnswer {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for CountedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads an answer of at most `max_bytes`. `memory` has a permit for each byte that large answers may take together.
///
/// # Errors
/// The answer is too large for itself or beside the others, or ended early.
pub async fn read_whole_answer(
    mut body: AnswerBody,
    max_bytes: usize,
    memory: &Arc<Semaphore>,
) -> Result<Bytes, AnswerFault> {
    let mut received = BytesMut::new();
    let mut room: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| AnswerFault::Broken)?.into_data() else {
            continue;
        };
        let bytes = received.len() + data.len();
        if bytes > max_bytes {
            return Err(AnswerFault::TooLarge);
        }
        let counted = room.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let wanted = bytes.saturating_sub(UNCOUNTED_BYTES) * COUNTED_PER_BYTE;
        if wanted > counted {
            let more = u32::try_from(wanted - counted).unwrap_or(u32::MAX);
            let reserved = memory.clone().try_acquire_many_owned(more);
            let reserved = reserved.map_err(|_| AnswerFault::NoMemory)?;
            match &mut room {
                Some(room) => room.merge(reserved),
                None => room = Some(reserved),
            }
        }
        received.extend_from_slice(&data);
    }
    let bytes = received.freeze();
    Ok(match room {
        Some(room) => Bytes::from_owner(CountedAnswer { bytes, _room: room }),
        None => bytes,
    })
}
