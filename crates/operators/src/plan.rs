//! What an edit would change, customer by customer.

use {
    crate::declarations::{Customer, Declarations, Grant},
    std::{collections::BTreeSet, fmt},
    tealshore_core::ids::CustomerId,
};

/// One difference between two declarations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The customer that it concerns.
    pub customer: CustomerId,
    /// What changes for it.
    pub change: Change,
}

/// What changes for a customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The customer is new.
    Added,
    /// The customer goes.
    Removed,
    /// Its key changes.
    Key,
    /// It may use a template.
    Granted(String),
    /// It may no longer use a template.
    Revoked(String),
    /// A parameter of a template changes.
    Parameter {
        /// The template.
        template: String,
        /// The parameter.
        name: &'static str,
        /// Its value now.
        from: String,
        /// Its value after the edit.
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

/// All differences from `old` to `new`, by customer.
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
