use crate::{board::Host, key::HostKey};

/// A host and its key.
pub type KeyedHost<'a> = (HostKey, &'a Host);

/// Separates the hosts with at least half the processor share of the strongest from the weaker
/// ones, so that extra work can go to the former.
pub fn split_by_strength(hosts: Vec<KeyedHost<'_>>) -> (Vec<KeyedHost<'_>>, Vec<KeyedHost<'_>>) {
    let strongest = hosts.iter().map(|(_, host)| host.cpu_hundredths).max();
    let min_strength = strongest.unwrap_or(0) / 2;
    hosts
        .into_iter()
        .partition(|(_, host)| host.cpu_hundredths >= min_strength)
}
