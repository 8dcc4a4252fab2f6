//! A customer with its key hash and the templates that it uses.

use {
    super::template::{Grant, TemplateOptions},
    std::collections::BTreeMap,
    tealshore_core::{
        ids::CustomerId,
        settings::{Section, SettingError},
    },
};

/// The length of a key hash, in hex digits.
const KEY_HASH_DIGITS: usize = 64;

/// A customer that may send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The id of the customer.
    pub id: CustomerId,
    /// The hash of the customer's API key.
    pub key_hash: String,
    /// The granted templates with their parameters, by template name.
    pub grants: BTreeMap<String, Grant>,
}

impl Customer {
    /// Reads a `[customer NAME]` section.
    ///
    /// # Errors
    /// Reports the key whose value is not allowed, or the template that does not exist.
    pub fn read(
        name: &str,
        mut section: Section<'_>,
        templates: &BTreeMap<String, TemplateOptions>,
    ) -> Result<Self, SettingError> {
        const HASH_ALLOWED: &str = "64 hex digits, as `tealshore key-hash` prints them";
        let key_hash = section.required("key_hash", HASH_ALLOWED)?;
        if key_hash.len() != KEY_HASH_DIGITS
            || !key_hash.bytes().all(|byte| byte.is_ascii_hexdigit())
        {
            return Err(section.bad_value("key_hash", &key_hash, HASH_ALLOWED));
        }
        let known: Vec<&str> = templates.keys().map(String::as_str).collect();
        let allowed = format!(
            "template names separated by commas; known templates: {}",
            known.join(", ")
        );
        let used = section.required("templates", &allowed)?;
        let mut grants = BTreeMap::new();
        for template in used.split(',').map(str::trim) {
            let options = templates
                .get(template)
                .ok_or_else(|| section.bad_value("templates", template, &allowed))?;
            grants.insert(
                template.to_owned(),
                options.with_overrides(template, &mut section)?,
            );
        }
        section.deny_unknown()?;
        Ok(Self {
            id: name.to_owned(),
            key_hash,
            grants,
        })
    }
}
