//! Declarations: templates with parameters, and the customers that use them.

mod customer;
mod template;

pub use {
    customer::Customer,
    template::{Grant, TemplateOptions},
};
use {
    std::collections::BTreeMap,
    tealshore_core::{
        ids::CustomerId,
        settings::{SettingError, Settings},
    },
};

/// The validated customers of a declarations text, with the parameters of their templates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declarations {
    customers: BTreeMap<CustomerId, Customer>,
    by_key_hash: BTreeMap<String, CustomerId>,
}

impl Declarations {
    /// Parses and validates a declarations text.
    ///
    /// # Errors
    /// Reports the first section and key that is invalid, alone or in combination with others.
    pub fn parse(text: &str) -> Result<Self, SettingError> {
        let settings = Settings::parse(text).map_err(|error| SettingError::Unreadable {
            file: "declarations".to_owned(),
            cause: error.to_string(),
        })?;
        settings.deny_unknown(&[], &["template", "customer"])?;
        let mut templates = BTreeMap::new();
        for (name, section) in settings.named("template") {
            templates.insert(name, TemplateOptions::read(section)?);
        }
        let mut declarations = Self::default();
        for (name, section) in settings.named("customer") {
            declarations.add(Customer::read(&name, section, &templates)?)?;
        }
        Ok(declarations)
    }

    fn add(&mut self, customer: Customer) -> Result<(), SettingError> {
        if let Some(other) = self.by_key_hash.get(&customer.key_hash) {
            return Err(SettingError::BadValue {
                section: format!("customer {}", customer.id),
                key: "key_hash".to_owned(),
                value: customer.key_hash.clone(),
                allowed: format!(
                    "a hash that no other customer has; customer {other} has this one"
                ),
            });
        }
        self.by_key_hash
            .insert(customer.key_hash.clone(), customer.id.clone());
        self.customers.insert(customer.id.clone(), customer);
        Ok(())
    }

    /// Returns the customer with this API key.
    #[must_use]
    pub fn customer_by_key(&self, key: &str) -> Option<&Customer> {
        self.customers.get(self.by_key_hash.get(&key_hash(key))?)
    }

    /// Returns the customer with this id.
    #[must_use]
    pub fn customer(&self, id: &CustomerId) -> Option<&Customer> {
        self.customers.get(id)
    }

    /// Iterates over all customers in order of their ids.
    pub fn customers(&self) -> impl Iterator<Item = &Customer> {
        self.customers.values()
    }
}

/// Computes the hash of a customer's API key. Declarations contain only the hash, so that they hold
/// no secrets.
#[must_use]
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
