//! The signed id of each event, with which a caller resumes on any entry host.
//!
//! It has the form `POSITION.CHAIN.PLACE.KEY.MAC`: how many tokens the caller has, their
//! running hash, where the generation runs (JSON in base64), the key's name, and a keyed
//! hash over all of it. The part that does not change within an attempt is encoded once.

use {
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    bytes::{BufMut, BytesMut},
    serde::{Deserialize, Serialize},
    std::{
        fmt::Write,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tealshore_core::{
        answer::{ErrorKind, Failure},
        chain::TokenChain,
        ids::{AttemptNo, CustomerId, EngineId, GenerationId, Position, RequestId, SiteId},
        protection::{Protection, enabled},
    },
};

/// How many bytes of the keyed hash are kept.
const MAC_BYTES: usize = 16;
/// The longest id that is looked at.
const TICKET_BOUND_BYTES: usize = 4096;

/// Where a generation runs and whose it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketPlace {
    /// The site that the generation started in.
    #[serde(rename = "s")]
    pub site: SiteId,
    /// The customer that it belongs to.
    #[serde(rename = "c")]
    pub customer: CustomerId,
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// The digest of the request.
    #[serde(rename = "d")]
    pub digest: String,
    /// The generation.
    #[serde(rename = "g")]
    pub generation: GenerationId,
    /// The attempt that sent the token.
    #[serde(rename = "a")]
    pub attempt: AttemptNo,
    /// The engine of that attempt.
    #[serde(rename = "e")]
    pub engine: EngineId,
    /// The pinned model, adapter and version.
    #[serde(rename = "m")]
    pub pin: [String; 3],
    /// Whether the request may not be repeated.
    #[serde(rename = "o", default)]
    pub once: bool,
    /// When the ticket ends, in seconds since 1970.
    #[serde(rename = "x")]
    pub expires_s: u64,
}

impl TicketPlace {
    /// Reads an id without a check, to look at where a generation runs. Trust none of it.
    #[must_use]
    pub fn peek(id: &str) -> Option<Self> {
        let json = URL_SAFE_NO_PAD.decode(id.split('.').nth(2)?).ok()?;
        serde_json::from_slice(&json).ok()
    }
}

/// A ticket that was checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// How many tokens the caller has.
    pub position: Position,
    /// Their running hash.
    pub chain: TokenChain,
    /// Where the generation runs.
    pub place: TicketPlace,
}

/// A key with its name.
#[derive(Clone)]
pub struct TicketKey {
    /// The name, which travels in the ticket.
    pub name: String,
    /// The secret.
    pub secret: [u8; 32],
}

/// Signs and checks tickets. The first key signs, all of them check, so that keys rotate
/// without a stop.
#[derive(Clone)]
pub struct TicketSigner {
    keys: Vec<TicketKey>,
}

/// Writes the ids of the events of one attempt.
pub struct EventSealer {
    tail: String,
    secret: [u8; 32],
}

impl TicketSigner {
    /// A signer; none without a key.
    #[must_use]
    pub fn new(keys: Vec<TicketKey>) -> Option<Self> {
        (!keys.is_empty()).then_some(Self { keys })
    }

    /// The writer of ids for one attempt.
    #[must_use]
    pub fn sealer(&self, place: &TicketPlace) -> EventSealer {
        let json = serde_json::to_vec(place).unwrap_or_default();
        let key = &self.keys[0];
        EventSealer {
            tail: format!("{}.{}", URL_SAFE_NO_PAD.encode(json), key.name),
            secret: key.secret,
        }
    }

    /// Checks an id.
    ///
    /// # Errors
    /// It is not one of ours, or past its time.
    pub fn open(&self, id: &str, now: SystemTime) -> Result<Ticket, Failure> {
        let foreign = || {
            Failure::new(
                ErrorKind::ForeignResumeToken,
                "last-event-id: not an id of this system",
            )
        };
        if id.len() > TICKET_BOUND_BYTES {
            return Err(foreign());
        }
        let (signed, mac) = id.rsplit_once('.').ok_or_else(foreign)?;
        let parts: Vec<&str> = signed.split('.').collect();
        let [position, chain, place, key_name] = parts[..] else {
            return Err(foreign());
        };
        let key = self
            .keys
            .iter()
            .find(|key| key.name == key_name)
            .ok_or_else(foreign)?;
        let genuine = mac_matches(&key.secret, signed.as_bytes(), mac);
        if !genuine && enabled(Protection::TokenSignature) {
            return Err(foreign());
        }
        let json = URL_SAFE_NO_PAD.decode(place).map_err(|_| foreign())?;
        let place: TicketPlace = serde_json::from_slice(&json).map_err(|_| foreign())?;
        if seconds_since_1970(now) > place.expires_s {
            return Err(Failure::new(
                ErrorKind::ExpiredResumeToken,
                "last-event-id: past its time",
            ));
        }
        Ok(Ticket {
            position: position.parse().map_err(|_| foreign())?,
            chain: TokenChain(u64::from_str_radix(chain, 16).map_err(|_| foreign())?),
            place,
        })
    }
}

impl EventSealer {
    /// Appends the id for a caller that has `position` tokens with this hash.
    pub fn write(&self, out: &mut BytesMut, position: Position, chain: TokenChain) {
        let start = out.len();
        // Writing to a buffer that grows can't fail.
        let _ = write!(out, "{position}.{:016x}.{}", chain.0, self.tail);
        let mac = blake3::keyed_hash(&self.secret, &out[start..]);
        out.put_u8(b'.');
        let mut encoded = [0; MAC_BYTES * 2];
        let written = URL_SAFE_NO_PAD
            .encode_slice(&mac.as_bytes()[..MAC_BYTES], &mut encoded)
            .unwrap_or(0);
        out.put_slice(&encoded[..written]);
    }
}

/// The time at which a ticket of this age ends.
#[must_use]
pub fn expiry_s(now: SystemTime, lifetime: Duration) -> u64 {
    seconds_since_1970(now + lifetime)
}

fn seconds_since_1970(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

fn mac_matches(secret: &[u8; 32], signed: &[u8], mac: &str) -> bool {
    let Ok(given) = URL_SAFE_NO_PAD.decode(mac) else {
        return false;
    };
    let mut padded = [0; 32];
    if given.len() != MAC_BYTES {
        return false;
    }
    padded[..MAC_BYTES].copy_from_slice(&given);
    let mut expected = *blake3::keyed_hash(secret, signed).as_bytes();
    expected[MAC_BYTES..].fill(0);
    // The comparison of hashes takes the same time wherever they differ.
    blake3::Hash::from(expected) == blake3::Hash::from(padded)
}
