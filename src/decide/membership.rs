//! Membership of hosts: a state machine driven by updates, missed heartbeats and time.

use {
    super::{MemberTiming, UpdateQueue},
    crate::{
        board::{Host, HostState, ListedHost, Members, Tick},
        key::HostKey,
        port::MemberUpdate,
    },
};

/// Maximum number of queued changes in one heartbeat or reply.
const MAX_UPDATES: usize = 8;

/// Number of members repeated round-robin in each heartbeat, so that a host that missed a change
/// catches up.
const REFRESH_COUNT: usize = 2;

/// Number of members repeated in the reply to a host that joins or was out of contact.
const JOIN_COUNT: usize = 64;

/// State of all hosts as this daemon knows it, and the changes that it has yet to disseminate.
#[derive(Clone, Debug)]
pub struct Membership {
    members: Members,
    queue: UpdateQueue,
    timing: MemberTiming,
    /// Position of the round robin over all hosts.
    cursor: usize,
    /// Whether the members changed since the last call of `take_dirty`.
    dirty: bool,
}

/// Version of a host's state when a heartbeat was sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct View {
    /// Key of the host.
    pub host: HostKey,
    /// Incarnation of the host, its start time in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of suspicions that the incarnation has refuted.
    pub refutations: u32,
}

impl Membership {
    /// Creates a membership that holds only the own host.
    pub fn new(own: &MemberUpdate, timing: MemberTiming, now: Tick) -> Self {
        let mut members = Members::default();
        members.own = members.hosts.insert(&own.name, host_of(own, now));
        let mut queue = UpdateQueue::default();
        queue.push(members.own);
        Self {
            members,
            queue,
            timing,
            cursor: 0,
            dirty: true,
        }
    }

    /// Returns all known hosts.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the intervals and bounds of the protocol.
    pub fn timing(&self) -> &MemberTiming {
        &self.timing
    }

    /// Returns whether anything has changed since the last call.
    pub fn take_dirty(&mut self) -> bool {
        std::mem::take(&mut self.dirty)
    }

    /// Adds hosts of the platform's list that no daemon has reported yet.
    ///
    /// They get incarnation 0, which any update supersedes. A host that the list still names after
    /// it has stopped is declared dead once it misses heartbeats.
    pub fn seed(&mut self, list: &[ListedHost], now: Tick) {
        for listed in list {
            if self.members.hosts.find(&listed.name).is_some() {
                continue;
            }
            let state = if listed.leaving {
                HostState::Leaving
            } else {
                HostState::Alive
            };
            let host = Host {
                name: listed.name.clone(),
                zone: listed.zone.clone(),
                address: listed.address.clone(),
                incarnation: 0,
                refutations: 0,
                cpu_hundredths: 0,
                state,
                changed_at: now,
            };
            self.members.hosts.insert(&listed.name, host);
            self.dirty = true;
        }
    }

    /// Merges an update from another daemon; returns whether it changed anything.
    pub fn merge(&mut self, update: &MemberUpdate, now: Tick) -> bool {
        let known = self.members.hosts.find(&update.name);
        if known == Some(self.members.own) {
            return self.refute(update);
        }
        let held = known.and_then(|key| self.members.hosts.get(key));
        let is_new = match held {
            Some(held) => supersedes(update, held),
            None => update.state != HostState::Dead,
        };
        if !is_new {
            return false;
        }
        let mut next = host_of(update, now);
        if let Some(held) = held.filter(|held| held.state == update.state) {
            next.changed_at = held.changed_at;
        }
        let key = self.members.hosts.insert(&update.name, next);
        self.mark_changed(key);
        true
    }

    /// Records that a host responded neither to a heartbeat nor to the indirect probes.
    ///
    /// Ignored if `view` is out of date, since a later state of the host has arrived in between.
    pub fn record_miss(&mut self, view: View, now: Tick) {
        let Some(host) = self.members.hosts.get_mut(view.host) else {
            return;
        };
        if (host.incarnation, host.refutations) != (view.incarnation, view.refutations) {
            return;
        }
        host.state = match host.state {
            HostState::Alive => HostState::Suspect,
            HostState::Leaving => HostState::Dead,
            HostState::Suspect | HostState::Dead => return,
        };
        host.changed_at = now;
        self.mark_changed(view.host);
    }

    /// Declares hosts dead whose suspicion has timed out, and deletes those that have been dead for
    /// the retention period.
    pub fn expire(&mut self, now: Tick) {
        let mut dead = Vec::new();
        let mut forgotten = Vec::new();
        for (key, host) in self.members.hosts.iter() {
            let age = now.since(host.changed_at);
            match host.state {
                HostState::Suspect if age >= self.timing.suspicion => dead.push(key),
                HostState::Dead if age >= self.timing.retention => {
                    forgotten.push((key, host.name.clone()));
                }
                _ => {}
            }
        }
        for key in dead {
            if let Some(host) = self.members.hosts.get_mut(key) {
                host.state = HostState::Dead;
                host.changed_at = now;
            }
            self.mark_changed(key);
        }
        for (key, name) in forgotten {
            self.queue.remove(key);
            self.members.hosts.remove(&name);
            self.dirty = true;
        }
    }

    /// Restarts the time-out of every suspicion after this process was paused, since it could not
    /// receive replies meanwhile.
    pub fn resume(&mut self, now: Tick) {
        let suspects: Vec<_> = self.in_state(HostState::Suspect).collect();
        for key in suspects {
            if let Some(host) = self.members.hosts.get_mut(key) {
                host.changed_at = now;
            }
        }
    }

    /// Announces a planned stop of the own host.
    pub fn leave(&mut self, now: Tick) {
        if let Some(own) = self.members.hosts.get_mut(self.members.own) {
            own.state = HostState::Leaving;
            own.changed_at = now;
        }
        self.mark_changed(self.members.own);
    }

    /// Returns the updates for a heartbeat to `host`, the own state first.
    pub fn heartbeat_updates(&mut self, host: Option<HostKey>) -> Vec<MemberUpdate> {
        self.compose(host, REFRESH_COUNT)
    }

    /// Returns the updates for the reply to a heartbeat of `host`, the own state first.
    ///
    /// A host that is not `current` has missed updates that are no longer disseminated, so it gets
    /// up to `JOIN_COUNT` members at once.
    pub fn reply_updates(&mut self, host: Option<HostKey>, current: bool) -> Vec<MemberUpdate> {
        self.compose(host, if current { REFRESH_COUNT } else { JOIN_COUNT })
    }

    /// Whether the host is known as alive in this incarnation.
    pub fn is_current(&self, name: &str, incarnation: u64) -> bool {
        let key = self.members.hosts.find(name);
        let held = key.and_then(|key| self.members.hosts.get(key));
        held.is_some_and(|h| h.incarnation == incarnation && h.state == HostState::Alive)
    }

    fn compose(&mut self, host: Option<HostKey>, refreshed: usize) -> Vec<MemberUpdate> {
        let own = self.members.own;
        // Three times the bit length of the number of hosts: after that many sends of each host an
        // update has very likely reached all of them.
        let max_sends = 3 * (usize::BITS - self.members.hosts.len().leading_zeros());
        let mut keys = vec![own];
        // A host that is not known as alive is sent what is known of it, so that it can refute that.
        let unconfirmed = host.filter(|key| self.is_unconfirmed(*key));
        keys.extend(unconfirmed);
        keys.extend(self.queue.take(MAX_UPDATES, max_sends));
        keys.extend(self.refresh(refreshed));
        let mut updates = Vec::new();
        for (i, key) in keys.iter().enumerate() {
            if !keys[..i].contains(key) {
                updates.extend(self.update_of(*key));
            }
        }
        updates
    }

    /// Returns the current view of a host; `None` if it is not known.
    pub fn view(&self, host: HostKey) -> Option<View> {
        let held = self.members.hosts.get(host)?;
        Some(View {
            host,
            incarnation: held.incarnation,
            refutations: held.refutations,
        })
    }

    fn in_state(&self, state: HostState) -> impl Iterator<Item = HostKey> {
        let hosts = self.members.hosts.iter();
        hosts.filter_map(move |(key, host)| (host.state == state).then_some(key))
    }

    /// Whether the host is known in a state other than alive.
    fn is_unconfirmed(&self, host: HostKey) -> bool {
        let held = self.members.hosts.get(host);
        held.is_some_and(|held| held.state != HostState::Alive)
    }

    /// Refutes an update about the own host that supersedes the own state, by raising the own
    /// refutations above those of the update; returns `false` if the update does not supersede it.
    ///
    /// A greater incarnation than the own one arises when the wall clock went back across a
    /// restart. It is adopted, so that other daemons accept the updates of this host again.
    fn refute(&mut self, update: &MemberUpdate) -> bool {
        let key = self.members.own;
        let Some(own) = self.members.hosts.get_mut(key) else {
            return false;
        };
        if !supersedes(update, own) {
            return false;
        }
        own.incarnation = update.incarnation;
        own.refutations = update.refutations + 1;
        self.mark_changed(key);
        true
    }

    /// Returns the next members of the round robin without those of incarnation 0, which are known
    /// from the platform alone.
    fn refresh(&mut self, count: usize) -> Vec<HostKey> {
        let total = self.members.hosts.len();
        let first = self.members.hosts.iter().skip(self.cursor);
        let turn = first.chain(self.members.hosts.iter().take(self.cursor));
        let keys = turn
            .take(count)
            .filter(|(_, host)| host.incarnation > 0)
            .map(|(key, _)| key)
            .collect();
        self.cursor = (self.cursor + count) % total.max(1);
        keys
    }

    fn update_of(&self, host: HostKey) -> Option<MemberUpdate> {
        let held = self.members.hosts.get(host)?;
        Some(MemberUpdate {
            name: held.name.clone(),
            zone: held.zone.clone(),
            address: held.address.clone(),
            incarnation: held.incarnation,
            refutations: held.refutations,
            state: held.state,
        })
    }

    fn mark_changed(&mut self, host: HostKey) {
        self.queue.push(host);
        self.dirty = true;
    }
}

/// Whether `update` is later than `held`: by incarnation, then refutations, then severity of the state.
fn supersedes(update: &MemberUpdate, held: &Host) -> bool {
    let updated = (
        update.incarnation,
        update.refutations,
        severity(update.state),
    );
    updated > (held.incarnation, held.refutations, severity(held.state))
}

fn severity(state: HostState) -> u8 {
    match state {
        HostState::Alive => 0,
        HostState::Suspect => 1,
        HostState::Leaving => 2,
        HostState::Dead => 3,
    }
}

fn host_of(update: &MemberUpdate, changed_at: Tick) -> Host {
    Host {
        name: update.name.clone(),
        zone: update.zone.clone(),
        address: update.address.clone(),
        incarnation: update.incarnation,
        refutations: update.refutations,
        cpu_hundredths: 0,
        state: update.state,
        changed_at,
    }
}
