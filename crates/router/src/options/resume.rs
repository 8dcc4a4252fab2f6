//! The `[resume]` section: the keys of tickets and the bounds of attempts.

use {
    std::{fmt, time::Duration},
    tealshore_callers::ticket::TicketKey,
    tealshore_core::settings::{Section, SettingError},
};

/// How many hex digits a key has.
const KEY_HEX_DIGITS: usize = 64;

/// The keys of tickets and the bounds of attempts.
#[derive(Clone)]
pub struct ResumeOptions {
    /// The keys; the first signs.
    pub keys: Vec<TicketKey>,
    /// How long a ticket may be used.
    pub ticket_lifetime: Duration,
    /// Attempts of one generation on one entry host, the first included.
    pub max_attempts: u32,
}

impl ResumeOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Names the key with a value that is not allowed.
    pub fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        const ALLOWED: &str = "NAME:HEX with 64 hex digits, several with commas; the first signs";
        let text = section.required("keys", ALLOWED)?;
        let keys: Option<Vec<TicketKey>> =
            text.split(',').map(|key| parse_key(key.trim())).collect();
        // The value is a secret: the error does not show it.
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
