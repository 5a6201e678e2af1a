use {
    super::feed_sources,
    crate::{board::Members, key::name_hash},
    std::time::Duration,
};

/// Number of daemons up to which none delays its first read: what all of them read is little.
const MAX_UNDELAYED: u32 = 64;

/// Longest delay for each further daemon. All 300 daemons of a deployment that start at once each read the
/// new entries of all others, 25 KB, from one of six readers, whose share is 1.2 MB.
const DELAY_PER_DAEMON: Duration = Duration::from_millis(12);

/// Returns the time for which a daemon that has listed the daemons waits before it reads changes from
/// another one.
///
/// It follows from the own name, so that the reads of daemons that start together are spread evenly. A daemon
/// that reads the store itself does not wait, as others read from it.
pub fn start_delay(members: &Members) -> Duration {
    let Some(own) = members.hosts.get(members.own) else {
        return Duration::ZERO;
    };
    if feed_sources(members, |_| false).is_empty() {
        return Duration::ZERO;
    }
    let others = (members.hosts.len() as u32).saturating_sub(MAX_UNDELAYED);
    let longest = DELAY_PER_DAEMON * others;
    // The last bits of the hash differ most between names that differ in their number only.
    let fraction = f64::from(name_hash(&own.name) as u16) / f64::from(u16::MAX);
    longest.mul_f64(fraction)
}
