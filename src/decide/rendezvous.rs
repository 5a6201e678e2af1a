//! Rendezvous hashing: the order of preference of hosts for a name.

use crate::{
    board::Members,
    key::{HostKey, name_hash},
};

/// Number of hosts of each zone that watch the sheet (the routing configuration) at the platform.
const WATCHERS_PER_ZONE: usize = 2;

/// A host to choose from, with the hash of its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Key of the host.
    pub key: HostKey,
    /// Stable hash of the host's name.
    pub hash: u64,
}

impl Candidate {
    /// Creates the candidate of the host `name`.
    pub fn new(key: HostKey, name: &str) -> Self {
        Self {
            key,
            hash: name_hash(name),
        }
    }
}

/// Returns the weight of a host for a name, from the hashes of both; it is the same on every daemon.
///
/// This is the finalizer of `SplitMix64` over both hashes.
pub fn weight(host: u64, name: u64) -> u64 {
    let mut mixed = host ^ name.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns `hosts` ordered for `name`, the host with the greatest weight first.
pub fn rank(name: &str, hosts: &[Candidate]) -> Vec<HostKey> {
    let name = name_hash(name);
    let mut ranked = Vec::from(hosts);
    ranked.sort_unstable_by_key(|host| (weight(host.hash, name), host.hash));
    ranked.iter().rev().map(|host| host.key).collect()
}

/// Returns the first and second host of `rank` without sorting; `None` if `hosts` is empty.
pub fn first_two(name: &str, hosts: &[Candidate]) -> Option<(HostKey, Option<HostKey>)> {
    let name = name_hash(name);
    let mut first: Option<((u64, u64), HostKey)> = None;
    let mut second = None;
    for host in hosts {
        let entry = ((weight(host.hash, name), host.hash), host.key);
        if first.is_none_or(|best| entry.0 > best.0) {
            second = first;
            first = Some(entry);
        } else if second.is_none_or(|best: ((u64, u64), HostKey)| entry.0 > best.0) {
            second = Some(entry);
        }
    }
    first.map(|best| (best.1, second.map(|next| next.1)))
}

/// Whether the own host is one of the `WATCHERS_PER_ZONE` hosts of its zone that watch the sheet at
/// the platform.
pub fn watches(members: &Members) -> bool {
    let Some(own) = members.hosts.get(members.own) else {
        return false;
    };
    let zone = members
        .hosts
        .iter()
        .filter(|(_, host)| host.zone == own.zone);
    let eligible: Vec<_> = zone
        .filter(|(_, host)| host.state.may_own())
        .map(|(key, host)| Candidate::new(key, &host.name))
        .collect();
    let ranked = rank(&format!("sheet/{}", own.zone), &eligible);
    ranked
        .iter()
        .take(WATCHERS_PER_ZONE)
        .any(|key| *key == members.own)
}
