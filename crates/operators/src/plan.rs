//! The differences between two declarations, per customer.

use {
    crate::declarations::{Customer, Declarations, Grant},
    std::{collections::BTreeSet, fmt},
    tealshore_core::ids::CustomerId,
};

/// One difference between two declarations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The affected customer.
    pub customer: CustomerId,
    /// The change for this customer.
    pub change: Change,
}

/// A change for a customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The customer is added.
    Added,
    /// The customer is removed.
    Removed,
    /// The key of the customer changes.
    Key,
    /// The customer gains access to a template.
    Granted(String),
    /// The customer loses access to a template.
    Revoked(String),
    /// A parameter of a granted template changes.
    Parameter {
        /// The name of the template.
        template: String,
        /// The name of the parameter.
        name: &'static str,
        /// The old value.
        from: String,
        /// The new value.
        to: String,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let customer = &self.customer;
        match &self.change {
            Change::Added => write!(f, "+ customer {customer}"),
            Change::Removed => write!(f, "- customer {customer}"),
            Change::Key => write!(f, "~ customer {customer}: key"),
            Change::Granted(template) => write!(f, "+ customer {customer}: {template}"),
            Change::Revoked(template) => write!(f, "- customer {customer}: {template}"),
            Change::Parameter {
                template,
                name,
                from,
                to,
            } => {
                write!(f, "~ customer {customer}: {template}.{name} {from} -> {to}")
            }
        }
    }
}

/// Returns all differences from `old` to `new`, ordered by customer.
#[must_use]
pub fn differences(old: &Declarations, new: &Declarations) -> Vec<Difference> {
    let ids: BTreeSet<&CustomerId> = old
        .customers()
        .chain(new.customers())
        .map(|customer| &customer.id)
        .collect();
    let mut all = Vec::new();
    for id in ids {
        let changes = match (old.customer(id), new.customer(id)) {
            (Some(_), None) => vec![Change::Removed],
            (None, Some(_)) => vec![Change::Added],
            (Some(old), Some(new)) => customer_changes(old, new),
            (None, None) => Vec::new(),
        };
        all.extend(changes.into_iter().map(|change| Difference {
            customer: id.clone(),
            change,
        }));
    }
    all
}

fn customer_changes(old: &Customer, new: &Customer) -> Vec<Change> {
    let mut changes = Vec::new();
    if old.key_hash != new.key_hash {
        changes.push(Change::Key);
    }
    let templates: BTreeSet<&String> = old.grants.keys().chain(new.grants.keys()).collect();
    for template in templates {
        match (old.grants.get(template), new.grants.get(template)) {
            (Some(_), None) => changes.push(Change::Revoked(template.clone())),
            (None, Some(_)) => changes.push(Change::Granted(template.clone())),
            (Some(old), Some(new)) => changes.extend(grant_changes(template, old, new)),
            (None, None) => {}
        }
    }
    changes
}

fn grant_changes(template: &str, old: &Grant, new: &Grant) -> Vec<Change> {
    let pairs = old.parameters().into_iter().zip(new.parameters());
    let changed = pairs.filter(|((_, from), (_, to))| from != to);
    changed
        .map(|((name, from), (_, to))| Change::Parameter {
            template: template.to_owned(),
            name,
            from,
            to,
        })
        .collect()
}
