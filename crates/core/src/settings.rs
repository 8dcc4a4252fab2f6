//! Reads INI settings and reports the first error with its section and key.

use {
    ini::{Ini, Properties},
    std::{
        collections::BTreeSet, fmt, net::SocketAddr, ops::RangeInclusive, path::Path,
        time::Duration,
    },
};

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingError {
    /// The file can't be read or is not valid INI.
    Unreadable {
        /// The path of the file, or a name for the text if it was not read from a file.
        file: String,
        /// The cause.
        cause: String,
    },
    /// The file contains an unknown section.
    UnknownSection {
        /// The name of the section.
        section: String,
        /// The known sections.
        allowed: String,
    },
    /// A section contains an unknown key.
    UnknownKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The known keys of the section.
        allowed: String,
    },
    /// A required key is missing.
    Missing {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// The value of a key is not allowed.
    BadValue {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// A description of the allowed values.
        allowed: String,
    },
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, cause } => write!(f, "{file}: {cause}"),
            Self::UnknownSection { section, allowed } => {
                write!(f, "[{section}]: unknown section; allowed: {allowed}")
            }
            Self::UnknownKey {
                section,
                key,
                allowed,
            } => {
                write!(f, "[{section}] {key}: unknown key; allowed: {allowed}")
            }
            Self::Missing {
                section,
                key,
                allowed,
            } => {
                write!(f, "[{section}] {key}: missing key; allowed: {allowed}")
            }
            Self::BadValue {
                section,
                key,
                value,
                allowed,
            } => {
                write!(
                    f,
                    "[{section}] {key} = {value}: invalid value; allowed: {allowed}"
                )
            }
        }
    }
}

impl std::error::Error for SettingError {}

/// A parsed settings file.
pub struct Settings {
    ini: Ini,
}

impl Settings {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// The file can't be read or is not valid INI.
    pub fn load(file: &Path) -> Result<Self, SettingError> {
        let unreadable = |cause: String| SettingError::Unreadable {
            file: file.display().to_string(),
            cause,
        };
        let text = std::fs::read_to_string(file).map_err(|e| unreadable(e.to_string()))?;
        Self::parse(&text).map_err(|e| unreadable(e.to_string()))
    }

    /// Parses a text.
    ///
    /// # Errors
    /// The text is not valid INI.
    pub fn parse(text: &str) -> Result<Self, ini::ParseError> {
        Ini::load_from_str(text).map(|ini| Self { ini })
    }

    /// Returns the section with this name; a missing section is treated as an empty one.
    #[must_use]
    pub fn section<'a>(&'a self, name: &str) -> Section<'a> {
        Section::new(name, self.ini.section(Some(name)))
    }

    /// Reads a section and rejects keys that `read` did not ask for.
    ///
    /// # Errors
    /// Reports the section and key that is not allowed, and the allowed values or keys.
    pub fn read_section<T>(
        &self,
        name: &str,
        read: fn(&mut Section<'_>) -> Result<T, SettingError>,
    ) -> Result<T, SettingError> {
        let mut section = self.section(name);
        let options = read(&mut section)?;
        section.deny_unknown()?;
        Ok(options)
    }

    /// Returns the sections that are named `prefix NAME`, each with its NAME.
    #[must_use]
    pub fn named<'a>(&'a self, prefix: &str) -> Vec<(String, Section<'a>)> {
        self.ini
            .iter()
            .filter_map(|(section, values)| {
                let full = section?;
                let name = full.strip_prefix(prefix)?.strip_prefix(' ')?.trim();
                Some((name.to_owned(), Section::new(full, Some(values))))
            })
            .collect()
    }

    /// Rejects sections that are neither in `plain` nor named `PREFIX NAME` with one of `prefixes`.
    ///
    /// # Errors
    /// Reports the first unknown section.
    pub fn deny_unknown(&self, plain: &[&str], prefixes: &[&str]) -> Result<(), SettingError> {
        let named = |section: &str| {
            let word = section.split(' ').next().unwrap_or_default();
            section.contains(' ') && prefixes.contains(&word)
        };
        let general_section = (String::new(), !self.ini.general_section().is_empty());
        let unknown = self
            .ini
            .sections()
            .flatten()
            .find(|section| !plain.contains(section) && !named(section))
            .map(str::to_owned)
            .or_else(|| general_section.1.then_some(general_section.0));
        let Some(section) = unknown else {
            return Ok(());
        };
        let prefixes = prefixes.iter().map(|prefix| format!("{prefix} NAME"));
        let allowed: Vec<String> = plain
            .iter()
            .map(|name| (*name).to_owned())
            .chain(prefixes)
            .collect();
        Err(SettingError::UnknownSection {
            section,
            allowed: allowed.join(", "),
        })
    }
}

/// A section that is being read. It records the requested keys, so that all others can be rejected.
pub struct Section<'a> {
    name: String,
    values: Option<&'a Properties>,
    requested: BTreeSet<String>,
}

impl<'a> Section<'a> {
    fn new(name: &str, values: Option<&'a Properties>) -> Self {
        Self {
            name: name.to_owned(),
            values,
            requested: BTreeSet::new(),
        }
    }

    /// Returns the name of the section, as shown in errors.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns all keys with their values, for a section whose keys are chosen by the user.
    pub fn entries(&mut self) -> Vec<(&'a str, &'a str)> {
        let entries = self.values.into_iter().flat_map(Properties::iter);
        let entries: Vec<_> = entries.map(|(key, value)| (key, value.trim())).collect();
        let keys = entries.iter().map(|(key, _)| (*key).to_owned());
        self.requested.extend(keys);
        entries
    }

    /// Returns the value of a key as text, if the key is present.
    pub fn optional(&mut self, key: &str) -> Option<&'a str> {
        self.requested.insert(key.to_owned());
        self.values
            .and_then(|values| values.get(key))
            .map(str::trim)
    }

    /// Builds the error for a value that is not allowed.
    #[must_use]
    pub fn bad_value(&self, key: &str, value: &str, allowed: &str) -> SettingError {
        SettingError::BadValue {
            section: self.name.clone(),
            key: key.to_owned(),
            value: value.to_owned(),
            allowed: allowed.to_owned(),
        }
    }

    /// Reads a text with a default.
    pub fn text(&mut self, key: &str, default: &str) -> String {
        self.optional(key).unwrap_or(default).to_owned()
    }

    /// Reads a required text.
    ///
    /// # Errors
    /// The key is missing or empty.
    pub fn required(&mut self, key: &str, allowed: &str) -> Result<String, SettingError> {
        match self.optional(key) {
            Some("") => Err(self.bad_value(key, "", allowed)),
            Some(value) => Ok(value.to_owned()),
            None => Err(SettingError::Missing {
                section: self.name.clone(),
                key: key.to_owned(),
                allowed: allowed.to_owned(),
            }),
        }
    }

    /// Reads one of a closed set of words.
    ///
    /// # Errors
    /// The value is not in the set.
    pub fn choice(
        &mut self,
        key: &str,
        default: &str,
        words: &[&str],
    ) -> Result<String, SettingError> {
        let value = self.optional(key).unwrap_or(default);
        if words.contains(&value) {
            return Ok(value.to_owned());
        }
        Err(self.bad_value(key, value, &words.join(", ")))
    }

    /// Reads an integer within a range.
    ///
    /// # Errors
    /// The value is not an integer or is out of range.
    pub fn integer(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64, SettingError> {
        let Some(value) = self.optional(key) else {
            return Ok(default);
        };
        let allowed = format!("an integer from {} to {}", range.start(), range.end());
        match value.parse::<u64>() {
            Ok(number) if range.contains(&number) => Ok(number),
            _ => Err(self.bad_value(key, value, &allowed)),
        }
    }

    /// Reads a duration in milliseconds; the key ends in `_ms`.
    ///
    /// # Errors
    /// The value is not an integer or is out of range.
    pub fn duration_ms(
        &mut self,
        key: &str,
        default: Duration,
        range_ms: RangeInclusive<u64>,
    ) -> Result<Duration, SettingError> {
        let default_ms = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        self.integer(key, default_ms, range_ms)
            .map(Duration::from_millis)
    }

    /// Reads a required address, `IP:PORT`.
    ///
    /// # Errors
    /// The key is missing or the value is not an address.
    pub fn address(&mut self, key: &str) -> Result<SocketAddr, SettingError> {
        const ALLOWED: &str = "an address, IP:PORT";
        let value = self.required(key, ALLOWED)?;
        value
            .parse()
            .map_err(|_| self.bad_value(key, &value, ALLOWED))
    }

    /// Rejects keys that were not requested. Must be called after all keys were read.
    ///
    /// # Errors
    /// Reports the first unknown key.
    pub fn deny_unknown(self) -> Result<(), SettingError> {
        let Some(values) = self.values else {
            return Ok(());
        };
        let unknown = values
            .iter()
            .map(|(key, _)| key)
            .find(|key| !self.requested.contains(*key));
        match unknown {
            None => Ok(()),
            Some(key) => Err(SettingError::UnknownKey {
                section: self.name.clone(),
                key: key.to_owned(),
                allowed: self
                    .requested
                    .iter()
                    .cloned()
                    .collect::<Vec<_>>()
                    .join(", "),
            }),
        }
    }
}
