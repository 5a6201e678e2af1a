//! Ownership of endpoints by rendezvous hashing within an availability zone.

use {
    super::rendezvous::{Candidate, first_two},
    crate::board::{Fleet, Members, Owners, Ownership},
    std::collections::HashMap,
};

/// Assigns each endpoint to an owner and, where there is a second host, a backup in its availability
/// zone.
///
/// An endpoint whose zone has no host that may own endpoints goes to a host of any zone, so that it
/// has an owner as long as a single host is left.
pub fn assign(fleet: &Fleet, members: &Members) -> Owners {
    let mut zones = HashMap::<&str, Vec<Candidate>>::new();
    let mut all_zones = Vec::new();
    for (key, host) in members.hosts.iter() {
        if host.state.may_own() {
            let candidate = Candidate::new(key, &host.name);
            zones.entry(&host.zone).or_default().push(candidate);
            all_zones.push(candidate);
        }
    }
    let mut owners = Owners::default();
    for (key, endpoint) in fleet.endpoints.iter() {
        let hosts = zones.get(endpoint.zone.as_str()).unwrap_or(&all_zones);
        if let Some((owner, backup)) = first_two(&endpoint.name, hosts) {
            owners.by_endpoint.insert(key, Ownership { owner, backup });
        }
    }
    owners
}
