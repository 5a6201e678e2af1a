use {
    crate::{
        board::{HostState, Members},
        key::{HostKey, name_hash},
    },
    rand::{Rng, seq::SliceRandom},
    std::collections::BTreeSet,
};

/// Number of heartbeat intervals for each heartbeat to a host of another zone.
const OTHER_ZONE_INTERVALS: u64 = 2;

/// Number of heartbeat intervals for each heartbeat to a dead host. These heartbeats reconnect the
/// two sides after a network partition.
const DEAD_INTERVALS: u64 = 5;

/// Chooses the hosts that get a heartbeat in each interval, a bounded number of them.
///
/// The hosts of the own zone that follow the own host in hash order get one in every interval. One
/// other host of the zone gets one in every interval as well, one of another zone in every
/// `OTHER_ZONE_INTERVALS`th and one dead host in every `DEAD_INTERVALS`th, each in a random order
/// that reaches every host of its group before any host twice.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatPeers {
    /// Hosts of the own zone that get a heartbeat in every interval.
    ring: Vec<HostKey>,
    /// The other hosts of the own zone.
    same_zone: ShuffledCycle,
    other_zones: ShuffledCycle,
    dead: ShuffledCycle,
    /// Number of intervals so far.
    intervals: u64,
}

impl HeartbeatPeers {
    /// Updates the groups after a change of the members; `aperture` hosts of the own zone are
    /// chosen in every interval.
    pub fn update(&mut self, members: &Members, aperture: usize) {
        let Some(own) = members.hosts.get(members.own) else {
            return;
        };
        let own_hash = name_hash(&own.name);
        let mut same_zone = Vec::new();
        let mut other_zones = Vec::new();
        let mut dead = Vec::new();
        for (key, host) in members.hosts.iter() {
            if key == members.own {
                continue;
            }
            if host.state == HostState::Dead {
                dead.push(key);
            } else if host.zone == own.zone {
                same_zone.push((name_hash(&host.name).wrapping_sub(own_hash), key));
            } else {
                other_zones.push(key);
            }
        }
        same_zone.sort_unstable();
        let mut same_zone: Vec<_> = same_zone.into_iter().map(|(_, key)| key).collect();
        let rest = same_zone.split_off(aperture.min(same_zone.len()));
        self.ring = same_zone;
        self.same_zone.update(rest);
        self.other_zones.update(other_zones);
        self.dead.update(dead);
    }

    /// Returns the hosts of the own zone that get a heartbeat in every interval.
    pub fn ring(&self) -> &[HostKey] {
        &self.ring
    }

    /// Returns the hosts that get a heartbeat in the next interval.
    pub fn choose<R>(&mut self, rng: &mut R) -> Vec<HostKey>
    where
        R: Rng,
    {
        self.intervals += 1;
        let mut chosen = self.ring.clone();
        chosen.extend(self.same_zone.pick(rng));
        if self.intervals.is_multiple_of(OTHER_ZONE_INTERVALS) {
            chosen.extend(self.other_zones.pick(rng));
        }
        if self.intervals.is_multiple_of(DEAD_INTERVALS) {
            chosen.extend(self.dead.pick(rng));
        }
        chosen
    }

    /// Returns up to `count` hosts that may probe `target` on behalf of the own host: hosts of the own
    /// zone, and of other zones too if there are too few.
    pub fn indirect_probers<R>(&self, target: HostKey, count: usize, rng: &mut R) -> Vec<HostKey>
    where
        R: Rng,
    {
        let zone = self.ring.iter().chain(&self.same_zone.keys);
        let mut others: Vec<_> = zone.copied().filter(|key| *key != target).collect();
        if others.len() < count {
            others.extend(self.other_zones.keys.iter().filter(|key| **key != target));
        }
        let (chosen, _) = others.partial_shuffle(rng, count);
        chosen.to_vec()
    }
}

/// Cycles through hosts in a random order that is shuffled again after each round.
#[derive(Clone, Debug, Default)]
struct ShuffledCycle {
    keys: Vec<HostKey>,
    next: usize,
}

impl ShuffledCycle {
    /// Replaces the hosts. Those that stay keep their order; new ones come at the end of the round.
    fn update(&mut self, keys: Vec<HostKey>) {
        let mut added: BTreeSet<_> = keys.into_iter().collect();
        let picked = self.keys.iter().take(self.next);
        self.next = picked.filter(|key| added.contains(*key)).count();
        self.keys.retain(|key| added.remove(key));
        self.keys.extend(added);
    }

    /// Returns the next host; `None` if there are none.
    fn pick<R>(&mut self, rng: &mut R) -> Option<HostKey>
    where
        R: Rng,
    {
        if self.next >= self.keys.len() {
            self.keys.shuffle(rng);
            self.next = 0;
        }
        let key = self.keys.get(self.next).copied();
        self.next += 1;
        key
    }
}
