//! Lists the entry hosts that a caller may use.

use {
    super::caller,
    crate::state::RouterState,
    http::{Request, Response},
    hyper::body::Incoming,
    tealshore_callers::wire::{AddressResponse, EntryAddress},
    tealshore_core::{
        answer::Failure,
        http::{Body, json_body},
        ids::{CustomerId, HostId},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 6;

/// Handles `GET /v1/addresses`; `?hall=` names the hall nearest to the caller, whose hosts come
/// first.
pub fn handle(state: &RouterState, request: &Request<Incoming>) -> Result<Response<Body>, Failure> {
    let active = caller::active_declarations(state)?;
    let customer = caller::customer(&active, request.headers())?;
    let hall = requested_hall(request).unwrap_or(&state.options.host.hall);
    let mut entries = state.fleet.available_entries();
    entries.sort_by_key(|entry| (entry.hall != *hall, address_rank(&customer.id, &entry.id)));
    let addresses = entries.into_iter().take(MAX_ADDRESSES);
    let answer = AddressResponse {
        addresses: addresses
            .map(|entry| EntryAddress {
                address: entry.address,
                hall: entry.hall,
            })
            .collect(),
        keep_ms: u64::try_from(state.options.callers.keep_addresses.as_millis())
            .unwrap_or(u64::MAX),
    };
    Ok(Response::new(json_body(&answer)))
}

/// Sort key that orders the hosts differently for each customer, so that customers spread over
/// the hosts, also when they move to the next one after a host fails.
fn address_rank(customer: &CustomerId, host: &HostId) -> u64 {
    xxh3_64(format!("{customer}\0{host}").as_bytes())
}

/// Value of the `hall` query parameter.
fn requested_hall(request: &Request<Incoming>) -> Option<&str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == "hall")
        .map(|(_, hall)| hall)
}
