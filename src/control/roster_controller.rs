use {
    super::{FeedFollower, News},
    crate::{
        board::{Fleet, ListedEndpoint, Tick, Writer},
        decide::merge_described,
        port::{Change, Clock, Description, Feed},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::sync::watch,
};

/// Time after an outage of the store within which an endpoint that lives is listed again.
const REGISTER_TIME: Duration = Duration::from_millis(2_300);

/// An endpoint as it registered itself.
#[derive(Clone, Debug)]
pub struct RosterEntry {
    /// Who and where it is.
    pub listed: ListedEndpoint,
    /// What it is.
    pub description: Description,
}

/// Writes the `fleet` section from a feed in which endpoints register themselves.
#[derive(Debug)]
pub struct RosterController<F, C> {
    follower: FeedFollower<F, C>,
    clock: C,
    writer: Writer<Fleet>,
    entries: BTreeMap<String, RosterEntry>,
    missing: BTreeMap<String, Tick>,
    reached: watch::Sender<bool>,
}

impl<F, C> RosterController<F, C>
where
    F: Feed<Item = RosterEntry>,
    C: Clock,
{
    /// Creates the controller; `reached` tells whether the store answers.
    pub fn new(
        follower: FeedFollower<F, C>,
        clock: C,
        writer: Writer<Fleet>,
        reached: watch::Sender<bool>,
    ) -> Self {
        Self {
            follower,
            clock,
            writer,
            entries: BTreeMap::new(),
            missing: BTreeMap::new(),
            reached,
        }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        loop {
            let due = self.missing.values().min().copied();
            let wait = due.map_or(Duration::MAX, |due| due - self.clock.now());
            let news = tokio::select! {
                news = self.follower.next() => news,
                () = self.clock.sleep(wait) => News::Same,
            };
            let reached = !matches!(news, News::Lost);
            self.reached
                .send_if_modified(|old| std::mem::replace(old, reached) != reached);
            match news {
                News::All(items) => self.replace(items),
                News::Some(changes) => {
                    for change in changes {
                        self.apply(change);
                    }
                }
                News::Lost | News::Same => {}
            }
            self.forget();
            self.publish();
        }
    }

    fn replace(&mut self, items: Vec<Change<RosterEntry>>) {
        let listed: Vec<_> = items
            .iter()
            .filter_map(|item| match item {
                Change::Put(name, _) => Some(name.clone()),
                Change::Unreadable(..) | Change::Removed(_) => None,
            })
            .collect();
        let gone: Vec<_> = self
            .entries
            .keys()
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        for name in gone {
            self.apply(Change::Removed(name));
        }
        for item in items {
            self.apply(item);
        }
    }

    fn apply(&mut self, change: Change<RosterEntry>) {
        let revision = self.follower.revision();
        match change {
            Change::Put(name, entry) => {
                self.missing.remove(&name);
                let leaving = entry.listed.leaving;
                let before = self.entries.insert(name.clone(), entry);
                if before.is_none_or(|before| before.listed.leaving != leaving) {
                    log::info!(endpoint = name.as_str(), revision, leaving; "endpoint listed");
                }
            }
            Change::Unreadable(name, why) => {
                log::warn!(endpoint = name.as_str(), revision; "entry is not usable: {why}");
                self.remove(&name);
            }
            Change::Removed(name) => {
                // Entries lapse during an outage of the store although their endpoints live.
                let now = self.clock.now();
                let until = self.follower.failed().map(|failed| failed + REGISTER_TIME);
                match until.filter(|until| *until > now) {
                    Some(until) if self.entries.contains_key(&name) => {
                        log::info!(endpoint = name.as_str(), revision; "entry lapsed; waiting for it");
                        self.missing.insert(name, until);
                    }
                    _ => self.remove(&name),
                }
            }
        }
    }

    fn forget(&mut self) {
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
            log::info!(endpoint = name, revision = self.follower.revision(); "endpoint gone");
        }
    }

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
