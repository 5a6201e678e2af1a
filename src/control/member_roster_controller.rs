use {
    super::{FeedFollower, FeedUpdate, deadlines::Deadlines},
    crate::{
        board::{Host, HostState, Members, Tick, Writer},
        key::HostKey,
        port::{Change, Clock, Feed, MemberEntry},
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::sync::Notify,
};

/// Time after the store came back from a copy within which live daemons register again.
const DAEMON_RETURN_TIME: Duration = Duration::from_secs(10);

/// Writes the `members` section from a feed in which daemons register themselves.
///
/// An entry does not expire, so a dead daemon stays listed; calls to it fail.
#[derive(Debug)]
pub struct MemberRosterController<F, C>
where
    F: Feed,
{
    follower: FeedFollower<F, C>,
    parts: MemberRosterParts<C>,
    /// Whether the entry of this daemon was listed.
    own_listed: bool,
    /// Daemons whose entries the store has lost, and until when they are kept.
    missing: Deadlines,
}

/// What a member roster controller works with.
#[derive(Debug)]
pub struct MemberRosterParts<C> {
    /// Source of time and sleep.
    pub clock: C,
    /// Entry of this daemon, which stays listed in any case.
    pub own: MemberEntry,
    /// Writer of the section.
    pub writer: Writer<Members>,
    /// Notified when the entry of this daemon is no longer listed.
    pub lapsed: Arc<Notify>,
}

impl<C> MemberRosterParts<C> {
    /// Prepares to write `writer`, with `own` as the entry of this daemon.
    pub fn new(clock: C, own: MemberEntry, writer: Writer<Members>) -> Self {
        Self {
            clock,
            own,
            writer,
            lapsed: Arc::default(),
        }
    }
}

impl<F, C> MemberRosterController<F, C>
where
    F: Feed<Item = MemberEntry>,
    C: Clock,
{
    /// Creates the controller.
    pub fn new(follower: FeedFollower<F, C>, parts: MemberRosterParts<C>) -> Self {
        Self {
            follower,
            parts,
            own_listed: false,
            missing: Deadlines::default(),
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        let own = self.parts.own.clone();
        self.parts.writer.update(|members| {
            members.own = put(members, own);
        });
        loop {
            let due = self.missing.next();
            let wait = due.map_or(Duration::MAX, |due| due - self.parts.clock.now());
            let update = tokio::select! {
                update = self.follower.next() => update,
                () = self.parts.clock.sleep(wait) => FeedUpdate::Unchanged,
            };
            match update {
                FeedUpdate::Listing(changes) => {
                    self.retain(&changes);
                    self.apply(changes);
                }
                FeedUpdate::Changes(changes) => self.apply(changes),
                FeedUpdate::Unavailable | FeedUpdate::Unchanged => {}
            }
            self.expire();
        }
    }

    /// Removes daemons that are no longer listed; those whose entries the store may have lost, as it
    /// came back from a copy, get time to register again.
    fn retain(&mut self, listed: &[Change<MemberEntry>]) {
        let names: BTreeSet<_> = listed
            .iter()
            .filter_map(|change| match change {
                Change::Put(name, _) => Some(name.as_str()),
                Change::Unreadable(..) | Change::Removed(_) => None,
            })
            .collect();
        let keep_until = self.keep_until();
        let own = self.parts.own.name.clone();
        if !names.contains(own.as_str()) {
            self.own_lapsed();
        }
        let missing = &mut self.missing;
        self.parts.writer.update(|members| {
            members.is_listed = true;
            let known = members.hosts.iter().map(|(_, host)| host.name.clone());
            let gone: Vec<_> = known
                .filter(|name| *name != own && !names.contains(name.as_str()))
                .collect();
            for name in gone {
                if let Some(until) = keep_until {
                    missing.set(&name, until);
                } else {
                    members.hosts.remove(&name);
                }
            }
        });
    }

    /// Returns until when daemons are kept whose entries the store may have lost; `None` if it has not
    /// come back from a copy lately.
    fn keep_until(&self) -> Option<Tick> {
        let until = self.follower.restored()? + DAEMON_RETURN_TIME;
        (until > self.parts.clock.now()).then_some(until)
    }

    /// Has this daemon register again if its entry was listed before, or may be lost.
    fn own_lapsed(&mut self) {
        if std::mem::take(&mut self.own_listed) || self.keep_until().is_some() {
            self.parts.lapsed.notify_one();
        }
    }

    /// Removes the daemons that have not registered again in time.
    fn expire(&mut self) {
        let due = self.missing.take_due(self.parts.clock.now());
        if due.is_empty() {
            return;
        }
        let removed = due.len();
        self.parts.writer.update(|members| {
            for name in due {
                members.hosts.remove(&name);
            }
        });
        log::info!(removed; "daemons removed that did not register again");
    }

    /// Applies changes and logs their number: a line for each of hundreds of daemons would crowd out
    /// the decisions on requests.
    fn apply(&mut self, changes: Vec<Change<MemberEntry>>) {
        let revision = self.follower.revision().number;
        let own = self.parts.own.clone();
        let (mut listed, mut removed) = (0, 0);
        let (mut own_listed, mut own_lapsed) = (false, false);
        let missing = &mut self.missing;
        let members = self.parts.writer.update(|members| {
            for change in changes {
                match change {
                    Change::Put(_, entry) if entry.name == own.name => {
                        own_listed = entry.incarnation == own.incarnation;
                        own_lapsed = !own_listed;
                    }
                    Change::Put(name, entry) => {
                        missing.clear(&name);
                        listed += 1;
                        put(members, entry);
                    }
                    Change::Unreadable(name, reason) => {
                        log::warn!(member = name.as_str(), revision; "daemon removed, its entry is not usable: {reason}");
                        members.hosts.remove(&name);
                    }
                    Change::Removed(name) if name != own.name => {
                        removed += 1;
                        members.hosts.remove(&name);
                    }
                    Change::Removed(_) => own_lapsed = true,
                }
            }
            members.hosts.len()
        });
        if own_listed {
            self.own_listed = true;
        } else if own_lapsed {
            self.own_lapsed();
        }
        log::info!(listed, removed, members, revision; "list of daemons updated");
    }
}

/// Adds or replaces the host of `entry`, as alive, and returns its key.
fn put(members: &mut Members, entry: MemberEntry) -> HostKey {
    let name = entry.name.clone();
    let host = Host {
        name: entry.name,
        zone: entry.zone,
        address: entry.address,
        incarnation: entry.incarnation,
        refutations: 0,
        cpu_hundredths: entry.strength,
        state: HostState::Alive,
        changed_at: Tick::default(),
    };
    members.hosts.insert(&name, host)
}
