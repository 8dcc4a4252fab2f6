//! Counts what is in flight, in all and a customer, and refuses beyond the bounds.

use {
    parking_lot::Mutex,
    std::{collections::HashMap, sync::Arc},
    tealshore_core::{
        answer::{ErrorKind, Failure},
        ids::CustomerId,
    },
};

#[derive(Default)]
struct Counts {
    total: u64,
    by_grant: HashMap<(CustomerId, String), u64>,
}

/// The requests in flight.
#[derive(Clone, Default)]
pub struct InFlight {
    counts: Arc<Mutex<Counts>>,
}

/// A request in flight; it counts until it is dropped.
pub struct InFlightGuard {
    counts: Arc<Mutex<Counts>>,
    grant: (CustomerId, String),
}

impl InFlight {
    /// Takes in a request.
    ///
    /// # Errors
    /// The host's or the customer's bound is reached.
    pub fn enter(
        &self,
        customer: &CustomerId,
        template: &str,
        host_bound: u64,
        customer_bound: u64,
    ) -> Result<InFlightGuard, Failure> {
        let grant = (customer.clone(), template.to_owned());
        let mut counts = self.counts.lock();
        if counts.total >= host_bound {
            return Err(Failure::new(
                ErrorKind::HostLimit,
                format!("{host_bound} requests are in flight on this host"),
            ));
        }
        let of_grant = counts.by_grant.entry(grant.clone()).or_default();
        if *of_grant >= customer_bound {
            let detail = format!(
                "{customer_bound} requests of {customer} for {template} are in flight on this host"
            );
            return Err(Failure::new(ErrorKind::CustomerLimit, detail));
        }
        *of_grant += 1;
        counts.total += 1;
        Ok(InFlightGuard {
            counts: self.counts.clone(),
            grant,
        })
    }

    /// How many there are.
    pub fn total(&self) -> u64 {
        self.counts.lock().total
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.lock();
        counts.total -= 1;
        if let Some(of_grant) = counts.by_grant.get_mut(&self.grant) {
            *of_grant -= 1;
            if *of_grant == 0 {
                counts.by_grant.remove(&self.grant);
            }
        }
    }
}
