use {
    super::{FeedFollower, FeedUpdate},
    crate::{
        board::{Fleet, Tick, Writer},
        decide::merge_described,
        port::{Change, Clock, Feed, RosterEntry},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::sync::watch,
};

/// Time after an outage of the store within which a live endpoint registers again.
const REREGISTER_TIME: Duration = Duration::from_millis(2_300);

/// Writes the `fleet` section from a feed in which endpoints register themselves.
#[derive(Debug)]
pub struct RosterController<F, C>
where
    F: Feed,
{
    follower: FeedFollower<F, C>,
    clock: C,
    writer: Writer<Fleet>,
    entries: BTreeMap<String, RosterEntry>,
    /// Endpoints whose entries expired during an outage, and until when they are kept.
    missing: BTreeMap<String, Tick>,
    reachable: watch::Sender<bool>,
}

impl<F, C> RosterController<F, C>
where
    F: Feed<Item = RosterEntry>,
    C: Clock,
{
    /// Creates the controller; `reachable` is set to whether the store responds.
    pub fn new(
        follower: FeedFollower<F, C>,
        clock: C,
        writer: Writer<Fleet>,
        reachable: watch::Sender<bool>,
    ) -> Self {
        Self {
            follower,
            clock,
            writer,
            entries: BTreeMap::new(),
            missing: BTreeMap::new(),
            reachable,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let due = self.missing.values().min().copied();
            let wait = due.map_or(Duration::MAX, |due| due - self.clock.now());
            let update = tokio::select! {
                update = self.follower.next() => update,
                () = self.clock.sleep(wait) => FeedUpdate::Unchanged,
            };
            let reachable = !matches!(update, FeedUpdate::Unavailable);
            self.reachable
                .send_if_modified(|old| std::mem::replace(old, reachable) != reachable);
            match update {
                FeedUpdate::Listing(items) => self.replace(items),
                FeedUpdate::Changes(changes) => {
                    for change in changes {
                        self.apply(change);
                    }
                }
                FeedUpdate::Unavailable | FeedUpdate::Unchanged => {}
            }
            self.remove_overdue();
            self.publish();
        }
    }

    /// Applies a complete list: endpoints that are not on it are removed.
    fn replace(&mut self, items: Vec<Change<RosterEntry>>) {
        let listed: Vec<_> = items
            .iter()
            .filter_map(|item| match item {
                Change::Put(name, _) => Some(name.clone()),
                Change::Unreadable(..) | Change::Removed(_) => None,
            })
            .collect();
        let removed: Vec<_> = self
            .entries
            .keys()
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        for name in removed {
            self.apply(Change::Removed(name));
        }
        for item in items {
            self.apply(item);
        }
    }

    fn apply(&mut self, change: Change<RosterEntry>) {
        let revision = self.follower.revision().number;
        match change {
            Change::Put(name, entry) => {
                self.missing.remove(&name);
                let leaving = entry.listed.draining;
                let before = self.entries.insert(name.clone(), entry);
                if before.is_none_or(|before| before.listed.draining != leaving) {
                    log::info!(endpoint = name.as_str(), revision, leaving; "endpoint listed");
                }
            }
            Change::Unreadable(name, reason) => {
                log::warn!(endpoint = name.as_str(), revision; "endpoint removed, its entry is not usable: {reason}");
                self.remove(&name);
            }
            Change::Removed(name) => {
                // Entries expire during an outage of the store although their endpoints are alive.
                let now = self.clock.now();
                let ended = self.follower.outage_end();
                let until = ended.map(|ended| ended + REREGISTER_TIME);
                match until.filter(|until| *until > now) {
                    Some(until) if self.entries.contains_key(&name) => {
                        log::info!(endpoint = name.as_str(), revision; "entry expired in an outage of the store; endpoint kept until it had time to register again");
                        self.missing.insert(name, until);
                    }
                    _ => self.remove(&name),
                }
            }
        }
    }

    /// Removes the endpoints that have not registered again in time.
    fn remove_overdue(&mut self) {
        let now = self.clock.now();
        let due: Vec<_> = self
            .missing
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.remove(&name);
        }
    }

    fn remove(&mut self, name: &str) {
        self.missing.remove(name);
        if self.entries.remove(name).is_some() {
            log::info!(endpoint = name, revision = self.follower.revision().number; "endpoint removed");
        }
    }

    /// Publishes the fleet if it has changed.
    fn publish(&mut self) {
        let described: Vec<_> = self
            .entries
            .values()
            .map(|entry| (&entry.listed, &entry.description))
            .collect();
        let mut next = Fleet::clone(&self.writer.load());
        if merge_described(&mut next, &described) {
            self.writer.publish(next);
        }
    }
}
