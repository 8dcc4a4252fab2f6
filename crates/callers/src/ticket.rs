//! The signed event ids (tickets) with which a caller can resume on any entry host.
//!
//! A ticket has the form `POSITION.CHAIN.PLACE.KEY.MAC`: the number of tokens that the caller has,
//! their chained hash, the location and owner of the generation (JSON in base64), the name of the
//! signing key, and a MAC over all the other parts. PLACE and KEY stay the same within an attempt
//! and are encoded only once.

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

/// The length of the MAC, in bytes: the keyed hash is truncated to it.
const MAC_BYTES: usize = 16;
/// The maximum length of an id that is parsed.
const MAX_TICKET_BYTES: usize = 4096;

/// The location and owner of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketPlace {
    /// The site in which the generation started.
    #[serde(rename = "s")]
    pub site: SiteId,
    /// The customer that owns the generation.
    #[serde(rename = "c")]
    pub customer: CustomerId,
    /// The id of the request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// The digest of the request.
    #[serde(rename = "d")]
    pub digest: String,
    /// The id of the generation.
    #[serde(rename = "g")]
    pub generation: GenerationId,
    /// The attempt that produced the token.
    #[serde(rename = "a")]
    pub attempt: AttemptNo,
    /// The engine that runs the attempt.
    #[serde(rename = "e")]
    pub engine: EngineId,
    /// The model, adapter and version that the generation is pinned to.
    #[serde(rename = "m")]
    pub pin: [String; 3],
    /// Whether the request may not be repeated.
    #[serde(rename = "o", default)]
    pub once: bool,
    /// The expiry time of the ticket, in seconds since the Unix epoch.
    #[serde(rename = "x")]
    pub expires_s: u64,
}

impl TicketPlace {
    /// Decodes the location from an id without verifying the signature. The result must not be
    /// trusted.
    #[must_use]
    pub fn decode_unverified(id: &str) -> Option<Self> {
        let json = URL_SAFE_NO_PAD.decode(id.split('.').nth(2)?).ok()?;
        serde_json::from_slice(&json).ok()
    }
}

/// A verified ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The number of tokens that the caller has.
    pub position: Position,
    /// The chained hash of these tokens.
    pub chain: TokenChain,
    /// The location and owner of the generation.
    pub place: TicketPlace,
}

/// A named signing key.
#[derive(Clone)]
pub struct TicketKey {
    /// The name, which the ticket contains.
    pub name: String,
    /// The secret key.
    pub secret: [u8; 32],
}

/// Signs and verifies tickets. The first key signs and all keys verify, so that keys can be rotated
/// without downtime.
#[derive(Clone)]
pub struct TicketSigner {
    keys: Vec<TicketKey>,
}

/// Writes the signed event ids of one attempt.
pub struct EventIdWriter {
    tail: String,
    secret: [u8; 32],
}

impl TicketSigner {
    /// Creates a signer; `None` if `keys` is empty.
    #[must_use]
    pub fn new(keys: Vec<TicketKey>) -> Option<Self> {
        (!keys.is_empty()).then_some(Self { keys })
    }

    /// Creates the writer of event ids for one attempt.
    #[must_use]
    pub fn id_writer(&self, place: &TicketPlace) -> EventIdWriter {
        let json = serde_json::to_vec(place).unwrap_or_default();
        let key = &self.keys[0];
        EventIdWriter {
            tail: format!("{}.{}", URL_SAFE_NO_PAD.encode(json), key.name),
            secret: key.secret,
        }
    }

    /// Verifies an event id.
    ///
    /// # Errors
    /// The id was not signed by this system, or has expired.
    pub fn verify(&self, id: &str, now: SystemTime) -> Result<Ticket, Failure> {
        let foreign = || {
            Failure::new(
                ErrorKind::ForeignResumeToken,
                "last-event-id: not an id of this system",
            )
        };
        if id.len() > MAX_TICKET_BYTES {
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

impl EventIdWriter {
    /// Appends the id for a caller that has `position` tokens with the hash `chain`.
    pub fn write(&self, out: &mut BytesMut, position: Position, chain: TokenChain) {
        let start = out.len();
        // Writing to a growable buffer can't fail.
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

/// The expiry time of a ticket that is issued now, in seconds since the Unix epoch.
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
    // `blake3::Hash` compares in constant time.
    blake3::Hash::from(expected) == blake3::Hash::from(padded)
}
