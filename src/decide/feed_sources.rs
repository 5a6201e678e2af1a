use {
    super::{
        rendezvous::{Candidate, rank},
        strong_hosts::{KeyedHost, split_by_strength},
    },
    crate::{
        board::{Host, HostState, Members},
        key::HostKey,
    },
};

/// Number of hosts of each zone that read the store themselves and pass on what they read.
const READERS_PER_ZONE: usize = 2;

/// Returns the hosts from which the own host reads the feeds of the store, the first choice first;
/// none if it is to read the store itself.
///
/// The hosts that read the store are the first of each zone in rendezvous order, strong ones before
/// weak ones; every daemon computes them from its own list of members. `avoid` tells which hosts
/// do not reply: the next ones then take their place, since they ask the same hosts and see the
/// same. It also holds for the own host if that cannot reach the store. Without an agreed list two
/// daemons may both rely on the other; neither then answers for the store, and both read it.
pub fn feed_sources<A>(members: &Members, avoid: A) -> Vec<HostKey>
where
    A: Fn(HostKey) -> bool,
{
    let Some(own) = members.hosts.get(members.own) else {
        return Vec::new();
    };
    let usable = |key: HostKey, host: &Host| {
        let same_zone = host.zone == own.zone;
        key == members.own || same_zone && host.state == HostState::Alive
    };
    let zone: Vec<_> = members
        .hosts
        .iter()
        .filter(|(key, host)| usable(*key, host) && !avoid(*key))
        .collect();
    let (strong, weak) = split_by_strength(zone);
    let purpose = format!("feeds/{}", own.zone);
    let mut order = rank(&purpose, &candidates(&strong));
    order.extend(rank(&purpose, &candidates(&weak)));
    order.truncate(READERS_PER_ZONE);
    if order.contains(&members.own) {
        return Vec::new();
    }
    // Each host has a first choice of its own, which divides the work among the readers.
    let readers: Vec<_> = order
        .iter()
        .filter_map(|key| Some(Candidate::new(*key, &members.hosts.get(*key)?.name)))
        .collect();
    rank(&own.name, &readers)
}

/// Returns whether the zone of the own host has more hosts than read the store, so that some read
/// from others.
pub fn has_followers(members: &Members) -> bool {
    let Some(own) = members.hosts.get(members.own) else {
        return false;
    };
    let hosts = members.hosts.iter();
    let zone = hosts.filter(|(_, host)| host.zone == own.zone && host.state == HostState::Alive);
    zone.count() > READERS_PER_ZONE
}

fn candidates(hosts: &[KeyedHost<'_>]) -> Vec<Candidate> {
    let candidates = hosts.iter();
    candidates
        .map(|(key, host)| Candidate::new(*key, &host.name))
        .collect()
}
