//! The `[resume]` section: ticket keys and limits for attempts.

use {
    std::{fmt, time::Duration},
    tealshore_callers::ticket::TicketKey,
    tealshore_core::settings::{Section, SettingError},
};

/// Number of hex digits of a key.
const KEY_HEX_DIGITS: usize = 64;

/// Ticket keys and limits for attempts.
#[derive(Clone)]
pub struct ResumeOptions {
    /// Ticket keys; the first one signs, all of them verify.
    pub keys: Vec<TicketKey>,
    /// How long a ticket is valid.
    pub ticket_lifetime: Duration,
    /// Maximum number of attempts of one generation on one entry host, including the first.
    pub max_attempts: u32,
}

impl ResumeOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Returns an error that names the key with an invalid value.
    pub fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        const ALLOWED: &str = "NAME:HEX with 64 hex digits, comma-separated; the first key signs";
        let text = section.required("keys", ALLOWED)?;
        let keys: Option<Vec<TicketKey>> =
            text.split(',').map(|key| parse_key(key.trim())).collect();
        // The error hides the value, which is a secret.
        let keys = keys.ok_or_else(|| section.bad_value("keys", "(hidden)", ALLOWED))?;
        let max_attempts = section.integer("max_attempts", 6, 1..=100)?;
        Ok(Self {
            keys,
            ticket_lifetime: section.duration_ms(
                "ticket_lifetime_ms",
                Duration::from_secs(3_600),
                1_000..=86_400_000,
            )?,
            max_attempts: u32::try_from(max_attempts).unwrap_or(u32::MAX),
        })
    }
}

impl fmt::Debug for ResumeOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.keys.iter().map(|key| key.name.as_str()).collect();
        f.debug_struct("ResumeOptions")
            .field("keys", &names)
            .finish_non_exhaustive()
    }
}

fn parse_key(text: &str) -> Option<TicketKey> {
    let (name, hex) = text.split_once(':')?;
    let is_name = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_alphanumeric());
    if !is_name || hex.len() != KEY_HEX_DIGITS || !hex.is_ascii() {
        return None;
    }
    let mut secret = [0; 32];
    for (index, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(TicketKey {
        name: name.to_owned(),
        secret,
    })
}
