//! Membership of hosts: a state machine over news, silence and time.

use {
    super::{MemberTiming, NewsQueue},
    crate::{
        board::{Host, HostState, ListedHost, Members, Tick},
        key::HostKey,
        port::MemberNews,
    },
};

/// Greatest number of queued changes in one heartbeat.
const NEWS_MAX: usize = 8;

/// Members repeated in each heartbeat in turn, so that a view that missed a change is mended.
const REFRESH_COUNT: usize = 2;

/// Members told to a host that joins, or that was out of touch.
const JOIN_COUNT: usize = 64;

/// What a daemon knows of all hosts, and what it still has to tell.
#[derive(Clone, Debug)]
pub struct Membership {
    members: Members,
    queue: NewsQueue,
    timing: MemberTiming,
    cursor: usize,
    dirty: bool,
}

/// A view of one host at one time: what a heartbeat was sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct View {
    /// Key of the host.
    pub host: HostKey,
    /// Incarnation.
    pub incarnation: u64,
    /// Round.
    pub round: u32,
}

impl Membership {
    /// Creates a membership of the own host alone.
    pub fn new(own: &MemberNews, timing: MemberTiming, now: Tick) -> Self {
        let mut members = Members::default();
        members.own = members.hosts.insert(&own.name, host_of(own, now));
        let mut queue = NewsQueue::default();
        queue.push(members.own);
        Self {
            members,
            queue,
            timing,
            cursor: 0,
            dirty: true,
        }
    }

    /// All hosts.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Intervals and bounds.
    pub fn timing(&self) -> &MemberTiming {
        &self.timing
    }

    /// Whether anything has changed since the last call.
    pub fn take_dirty(&mut self) -> bool {
        std::mem::take(&mut self.dirty)
    }

    /// Adds hosts of the platform's list that no daemon has told of yet.
    ///
    /// They get incarnation 0, which any news supersedes; a host that the list still names after
    /// its end is found dead by its silence.
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
                round: 0,
                strength: 0,
                state,
                since: now,
            };
            self.members.hosts.insert(&listed.name, host);
            self.dirty = true;
        }
    }

    /// Takes in what another daemon told; returns whether it was new.
    pub fn merge(&mut self, news: &MemberNews, now: Tick) -> bool {
        let known = self.members.hosts.find(&news.name);
        if known == Some(self.members.own) {
            return self.refute(news);
        }
        let held = known.and_then(|key| self.members.hosts.get(key));
        let fresh = match held {
            Some(held) => supersedes(news, held),
            None => news.state != HostState::Dead,
        };
        if !fresh {
            return false;
        }
        let mut next = host_of(news, now);
        if let Some(held) = held.filter(|held| held.state == news.state) {
            next.since = held.since;
        }
        let key = self.members.hosts.insert(&news.name, next);
        self.note(key);
        true
    }

    /// Records that the host stayed silent to a heartbeat and to all indirect probes.
    ///
    /// A view that is out of date is ignored: the host was heard of in between.
    pub fn miss(&mut self, view: View, now: Tick) {
        let Some(host) = self.members.hosts.get_mut(view.host) else {
            return;
        };
        if (host.incarnation, host.round) != (view.incarnation, view.round) {
            return;
        }
        host.state = match host.state {
            HostState::Alive => HostState::Suspect,
            HostState::Leaving => HostState::Dead,
            HostState::Suspect | HostState::Dead => return,
        };
        host.since = now;
        self.note(view.host);
    }

    /// Removes hosts whose suspicion has timed out, and forgets those removed long ago.
    pub fn expire(&mut self, now: Tick) {
        let mut removed = Vec::new();
        let mut forgotten = Vec::new();
        for (key, host) in self.members.hosts.iter() {
            let age = now.since(host.since);
            match host.state {
                HostState::Suspect if age >= self.timing.suspicion => removed.push(key),
                HostState::Dead if age >= self.timing.retention => {
                    forgotten.push((key, host.name.clone()));
                }
                _ => {}
            }
        }
        for key in removed {
            if let Some(host) = self.members.hosts.get_mut(key) {
                host.state = HostState::Dead;
                host.since = now;
            }
            self.note(key);
        }
        for (key, name) in forgotten {
            self.queue.remove(key);
            self.members.hosts.remove(&name);
            self.dirty = true;
        }
    }

    /// Starts every suspicion anew after this process was paused: the silence was its own.
    pub fn resume(&mut self, now: Tick) {
        let suspects: Vec<_> = self.in_state(HostState::Suspect).collect();
        for key in suspects {
            if let Some(host) = self.members.hosts.get_mut(key) {
                host.since = now;
            }
        }
    }

    /// Announces a planned stop of the own host.
    pub fn leave(&mut self, now: Tick) {
        if let Some(own) = self.members.hosts.get_mut(self.members.own) {
            own.state = HostState::Leaving;
            own.since = now;
        }
        self.note(self.members.own);
    }

    /// Chooses what to tell `host`, the own state first.
    pub fn tell(&mut self, host: Option<HostKey>) -> Vec<MemberNews> {
        self.compose(host, REFRESH_COUNT)
    }

    /// Chooses what to answer `host`.
    ///
    /// A host that is not `current` has missed news that is no longer spread; it gets a large part
    /// of the members at once.
    pub fn answer(&mut self, host: Option<HostKey>, current: bool) -> Vec<MemberNews> {
        self.compose(host, if current { REFRESH_COUNT } else { JOIN_COUNT })
    }

    /// Whether the host has been in touch: it is known in this incarnation and not doubted.
    pub fn is_current(&self, name: &str, incarnation: u64) -> bool {
        let key = self.members.hosts.find(name);
        let held = key.and_then(|key| self.members.hosts.get(key));
        held.is_some_and(|h| h.incarnation == incarnation && h.state == HostState::Alive)
    }

    fn compose(&mut self, host: Option<HostKey>, refreshed: usize) -> Vec<MemberNews> {
        let own = self.members.own;
        let limit = 3 * (usize::BITS - self.members.hosts.len().leading_zeros());
        let mut keys = vec![own];
        let doubted = host.filter(|key| self.doubts(*key));
        keys.extend(doubted);
        keys.extend(self.queue.take(NEWS_MAX, limit));
        keys.extend(self.refresh(refreshed));
        let mut told = Vec::new();
        for (i, key) in keys.iter().enumerate() {
            if !keys[..i].contains(key) {
                told.extend(self.news(*key));
            }
        }
        told
    }

    /// Returns the current view of a host.
    pub fn view(&self, host: HostKey) -> Option<View> {
        let held = self.members.hosts.get(host)?;
        Some(View {
            host,
            incarnation: held.incarnation,
            round: held.round,
        })
    }

    fn in_state(&self, state: HostState) -> impl Iterator<Item = HostKey> {
        let hosts = self.members.hosts.iter();
        hosts.filter_map(move |(key, host)| (host.state == state).then_some(key))
    }

    fn doubts(&self, host: HostKey) -> bool {
        let held = self.members.hosts.get(host);
        held.is_some_and(|held| held.state != HostState::Alive)
    }

    /// Raises the own round above what is told of this host, unless that is what it says itself.
    ///
    /// A greater incarnation than the own one comes from a wall clock that went back across a
    /// restart; it is taken over, so that others listen again.
    fn refute(&mut self, news: &MemberNews) -> bool {
        let key = self.members.own;
        let Some(own) = self.members.hosts.get_mut(key) else {
            return false;
        };
        if !supersedes(news, own) {
            return false;
        }
        own.incarnation = news.incarnation;
        own.round = news.round + 1;
        self.note(key);
        true
    }

    /// Members in turn, known ones only: incarnation 0 is hearsay of the platform.
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

    fn news(&self, host: HostKey) -> Option<MemberNews> {
        let held = self.members.hosts.get(host)?;
        Some(MemberNews {
            name: held.name.clone(),
            zone: held.zone.clone(),
            address: held.address.clone(),
            incarnation: held.incarnation,
            round: held.round,
            state: held.state,
        })
    }

    fn note(&mut self, host: HostKey) {
        self.queue.push(host);
        self.dirty = true;
    }
}

/// Whether `news` is later than what is held: by incarnation, then round, then severity.
fn supersedes(news: &MemberNews, held: &Host) -> bool {
    let told = (news.incarnation, news.round, severity(news.state));
    told > (held.incarnation, held.round, severity(held.state))
}

fn severity(state: HostState) -> u8 {
    match state {
        HostState::Alive => 0,
        HostState::Suspect => 1,
        HostState::Leaving => 2,
        HostState::Dead => 3,
    }
}

fn host_of(news: &MemberNews, since: Tick) -> Host {
    Host {
        name: news.name.clone(),
        zone: news.zone.clone(),
        address: news.address.clone(),
        incarnation: news.incarnation,
        round: news.round,
        strength: 0,
        state: news.state,
        since,
    }
}
