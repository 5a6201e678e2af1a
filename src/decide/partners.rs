use {
    crate::{
        board::{HostState, Members},
        key::{HostKey, name_hash},
    },
    rand::{Rng, seq::SliceRandom},
    std::collections::BTreeSet,
};

/// Intervals between two heartbeats to another zone.
const FAR_INTERVALS: u64 = 2;

/// Intervals between two heartbeats to a removed host, which end a cut once it has healed.
const DEAD_INTERVALS: u64 = 5;

/// Chooses a bounded number of hosts for the heartbeats of each interval.
///
/// The next hosts of the own zone in the order of their hashes get a heartbeat every time. One
/// other of the zone, one of another zone and one removed host take turns, each in a random order
/// that reaches all of them before any twice.
#[derive(Clone, Debug, Default)]
pub struct Partners {
    ring: Vec<HostKey>,
    near: Deck,
    far: Deck,
    dead: Deck,
    turn: u64,
}

impl Partners {
    /// Follows a change of the members; `aperture` hosts of the zone are chosen every time.
    pub fn update(&mut self, members: &Members, aperture: usize) {
        let Some(own) = members.hosts.get(members.own) else {
            return;
        };
        let place = name_hash(&own.name);
        let mut near = Vec::new();
        let mut far = Vec::new();
        let mut dead = Vec::new();
        for (key, host) in members.hosts.iter() {
            if key == members.own {
                continue;
            }
            if host.state == HostState::Dead {
                dead.push(key);
            } else if host.zone == own.zone {
                near.push((name_hash(&host.name).wrapping_sub(place), key));
            } else {
                far.push(key);
            }
        }
        near.sort_unstable();
        let mut near: Vec<_> = near.into_iter().map(|(_, key)| key).collect();
        let rest = near.split_off(aperture.min(near.len()));
        self.ring = near;
        self.near.update(rest);
        self.far.update(far);
        self.dead.update(dead);
    }

    /// Hosts of the own zone that get a heartbeat every time.
    pub fn ring(&self) -> &[HostKey] {
        &self.ring
    }

    /// Chooses the hosts of one interval.
    pub fn choose<R>(&mut self, random: &mut R) -> Vec<HostKey>
    where
        R: Rng,
    {
        self.turn += 1;
        let mut chosen = self.ring.clone();
        chosen.extend(self.near.draw(random));
        if self.turn.is_multiple_of(FAR_INTERVALS) {
            chosen.extend(self.far.draw(random));
        }
        if self.turn.is_multiple_of(DEAD_INTERVALS) {
            chosen.extend(self.dead.draw(random));
        }
        chosen
    }

    /// Chooses up to `count` hosts of the zone, other than `target`, to probe it.
    pub fn helpers<R>(&self, target: HostKey, count: usize, random: &mut R) -> Vec<HostKey>
    where
        R: Rng,
    {
        let zone = self.ring.iter().chain(&self.near.keys);
        let mut others: Vec<_> = zone.copied().filter(|key| *key != target).collect();
        if others.len() < count {
            others.extend(self.far.keys.iter().filter(|key| **key != target));
        }
        let (chosen, _) = others.partial_shuffle(random, count);
        chosen.to_vec()
    }
}

/// Hosts in a random order that is renewed after each round.
#[derive(Clone, Debug, Default)]
struct Deck {
    keys: Vec<HostKey>,
    next: usize,
}

impl Deck {
    /// Keeps the order of the hosts that stay; new ones come at the end of the round.
    fn update(&mut self, keys: Vec<HostKey>) {
        let mut fresh: BTreeSet<_> = keys.into_iter().collect();
        let drawn = self.keys.iter().take(self.next);
        self.next = drawn.filter(|key| fresh.contains(*key)).count();
        self.keys.retain(|key| fresh.remove(key));
        self.keys.extend(fresh);
    }

    fn draw<R>(&mut self, random: &mut R) -> Option<HostKey>
    where
        R: Rng,
    {
        if self.next >= self.keys.len() {
            self.keys.shuffle(random);
            self.next = 0;
        }
        let key = self.keys.get(self.next).copied();
        self.next += 1;
        key
    }
}
