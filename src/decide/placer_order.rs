use {
    super::rendezvous::{Candidate, rank},
    crate::{
        board::{Host, HostState},
        key::HostKey,
    },
    std::time::Duration,
};

/// Age from which on a daemon may take the placing of a pool over from another.
const SETTLED_AGE: Duration = Duration::from_mins(1);

/// Daemons that started together settle together, at a multiple of this time.
const SETTLE_STEP: Duration = Duration::from_secs(30);

/// The daemons that may place requests of `pool`, the first choice first.
///
/// Hosts at least half as strong as the strongest come before the others: whoever places plans for
/// a whole pool. Among either, settled daemons come in rendezvous order, so that pools are spread,
/// and after them the younger ones, the oldest first. One that starts again takes no pool back for
/// a while: each change of the placing daemon loses sight of some of what is placed. `unix_ms` is
/// the time of day.
pub fn placer_order<'a, I>(pool: &str, hosts: I, unix_ms: u64) -> Vec<HostKey>
where
    I: Iterator<Item = (HostKey, &'a Host)>,
{
    let alive: Vec<_> = hosts
        .filter(|(_, host)| host.state == HostState::Alive)
        .collect();
    let strongest = alive.iter().map(|(_, host)| host.strength).max();
    let enough = strongest.unwrap_or(0) / 2;
    let (strong, weak): (Vec<_>, Vec<_>) = alive
        .into_iter()
        .partition(|(_, host)| host.strength >= enough);
    let mut order = by_age(pool, strong, unix_ms);
    order.extend(by_age(pool, weak, unix_ms));
    order
}

fn by_age(pool: &str, hosts: Vec<(HostKey, &Host)>, unix_ms: u64) -> Vec<HostKey> {
    let step = SETTLE_STEP.as_millis() as u64;
    let settled_by = (unix_ms / step * step).saturating_sub(SETTLED_AGE.as_millis() as u64);
    let (settled, mut young): (Vec<_>, Vec<_>) = hosts
        .into_iter()
        .partition(|(_, host)| host.incarnation <= settled_by);
    let able: Vec<_> = settled
        .iter()
        .map(|(key, host)| Candidate::new(*key, &host.name))
        .collect();
    let mut order = rank(pool, &able);
    young.sort_by_key(|(_, host)| (host.incarnation, host.name.as_str()));
    order.extend(young.iter().map(|(key, _)| *key));
    order
}
