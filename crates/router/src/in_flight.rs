//! Counts the requests in flight, in total and per customer and template, and rejects requests
//! beyond the limits.

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

/// Counter of the requests in flight.
#[derive(Clone, Default)]
pub struct InFlight {
    counts: Arc<Mutex<Counts>>,
}

/// Counts one request as in flight until it is dropped.
pub struct InFlightGuard {
    counts: Arc<Mutex<Counts>>,
    grant: (CustomerId, String),
}

impl InFlight {
    /// Admits a request and counts it.
    ///
    /// # Errors
    /// Returns a failure if the limit of the host or of the customer is reached.
    pub fn admit(
        &self,
        customer: &CustomerId,
        template: &str,
        host_limit: u64,
        customer_limit: u64,
    ) -> Result<InFlightGuard, Failure> {
        let grant = (customer.clone(), template.to_owned());
        let mut counts = self.counts.lock();
        if counts.total >= host_limit {
            return Err(Failure::new(
                ErrorKind::HostLimit,
                format!("{host_limit} requests are in flight on this host"),
            ));
        }
        let grant_count = counts.by_grant.entry(grant.clone()).or_default();
        if *grant_count >= customer_limit {
            let detail = format!(
                "{customer_limit} requests of {customer} for {template} are in flight on this host"
            );
            return Err(Failure::new(ErrorKind::CustomerLimit, detail));
        }
        *grant_count += 1;
        counts.total += 1;
        Ok(InFlightGuard {
            counts: self.counts.clone(),
            grant,
        })
    }

    /// Total number of requests in flight.
    pub fn total(&self) -> u64 {
        self.counts.lock().total
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.lock();
        counts.total -= 1;
        if let Some(grant_count) = counts.by_grant.get_mut(&self.grant) {
            *grant_count -= 1;
            if *grant_count == 0 {
                counts.by_grant.remove(&self.grant);
            }
        }
    }
}
