use {
    super::{
        rendezvous::{Candidate, rank},
        strong_hosts::{KeyedHost, split_by_strength},
    },
    crate::{
        board::{Host, HostState},
        key::HostKey,
    },
    std::time::Duration,
};

/// Age of a daemon from which on it may take over the placement of a pool from another.
const SETTLED_AGE: Duration = Duration::from_mins(1);

/// Granularity of the time of day from which `SETTLED_AGE` is counted, so that daemons that started
/// together become settled together.
const SETTLE_STEP: Duration = Duration::from_secs(30);

/// Returns the daemons that may place requests of `pool`, in order of preference.
///
/// Hosts with at least half the processor share of the strongest come first, since one daemon places the
/// requests of a whole pool. Within both groups settled daemons come in rendezvous order, which
/// spreads the pools, and then the younger ones, the oldest first. A daemon that has restarted takes
/// no pool back until it is settled, because each change of the placing daemon loses track of some
/// placements. `unix_ms` is the wall-clock time in milliseconds since the Unix epoch.
pub fn placer_order<'a, I>(pool: &str, hosts: I, unix_ms: u64) -> Vec<HostKey>
where
    I: Iterator<Item = (HostKey, &'a Host)>,
{
    let alive: Vec<_> = hosts
        .filter(|(_, host)| host.state == HostState::Alive)
        .collect();
    let (strong, weak) = split_by_strength(alive);
    let mut order = by_age(pool, strong, unix_ms);
    order.extend(by_age(pool, weak, unix_ms));
    order
}

/// Orders `hosts`: settled daemons in rendezvous order, then the younger ones, the oldest first.
///
/// The incarnation of a host is the time at which its daemon started, in the unit of `unix_ms`.
fn by_age(pool: &str, hosts: Vec<KeyedHost<'_>>, unix_ms: u64) -> Vec<HostKey> {
    let step = SETTLE_STEP.as_millis() as u64;
    let settled_by = (unix_ms / step * step).saturating_sub(SETTLED_AGE.as_millis() as u64);
    let (settled, mut young): (Vec<_>, Vec<_>) = hosts
        .into_iter()
        .partition(|(_, host)| host.incarnation <= settled_by);
    let candidates: Vec<_> = settled
        .iter()
        .map(|(key, host)| Candidate::new(*key, &host.name))
        .collect();
    let mut order = rank(pool, &candidates);
    young.sort_by_key(|(_, host)| (host.incarnation, host.name.as_str()));
    order.extend(young.iter().map(|(key, _)| *key));
    order
}
