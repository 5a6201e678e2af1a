use {
    super::deadlines::Deadlines,
    crate::{
        board::{ListedEndpoint, Tick},
        port::{Change, Description, RosterEntry},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time for which the removal of an endpoint is remembered; longer than what a store that comes back
/// from a copy may have lost.
const REMOVAL_MEMORY: Duration = Duration::from_mins(1);

/// Number of endpoints up to which each endpoint of the first list gets a line in the log. Thousands of lines
/// delay the first requests on a host with a tenth of a core.
const MAX_LOGGED: usize = 100;

/// Entries of endpoints as the store states them, and what this daemon knows better for a while after an
/// outage of the store, or after it came back from an older copy of itself.
#[derive(Debug, Default)]
pub(super) struct RosterEntries {
    entries: BTreeMap<String, RosterEntry>,
    /// Endpoints without an entry, which had no time to register again, and until when they are kept.
    missing: Deadlines,
    /// Endpoints that had said that they leave, or had been removed, before an older entry came back, and
    /// until when they count as leaving: a process that is gone does not renew its entry.
    doubted: Deadlines,
    /// Start time of the process of each removed endpoint, and when it was removed.
    removed: BTreeMap<String, (u64, Tick)>,
}

/// When entries were read, and what that means for entries that are missing or old.
#[derive(Clone, Copy, Debug)]
pub(super) struct RosterRead {
    /// Time of the read.
    pub(super) now: Tick,
    /// Number of the revision that was read.
    pub(super) revision: u64,
    /// Until when endpoints whose entries are missing are kept; `None` if they are removed at once.
    pub(super) keep_until: Option<Tick>,
    /// Until when entries may be older than what is known; `None` if none are.
    pub(super) doubt_until: Option<Tick>,
}

impl RosterEntries {
    /// Applies a complete list: endpoints that are not on it are removed.
    pub(super) fn replace(&mut self, items: Vec<Change<RosterEntry>>, read: RosterRead) {
        let listed: BTreeSet<_> = items
            .iter()
            .filter_map(|item| match item {
                Change::Put(name, _) => Some(name.clone()),
                Change::Unreadable(..) | Change::Removed(_) => None,
            })
            .collect();
        let names = self.entries.keys();
        let removed: Vec<_> = names
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();
        for name in removed {
            self.apply(Change::Removed(name), read);
        }
        let first = self.entries.is_empty() && listed.len() > MAX_LOGGED;
        for item in items {
            match item {
                Change::Put(name, entry) if first && !entry.listed.draining => {
                    self.insert(&name, entry, read);
                }
                item => self.apply(item, read),
            }
        }
        if first {
            log::info!(endpoints = self.entries.len(), revision = read.revision; "first list of endpoints; only those that leave have lines of their own");
        }
    }

    /// Applies one change.
    pub(super) fn apply(&mut self, change: Change<RosterEntry>, read: RosterRead) {
        let revision = read.revision;
        match change {
            Change::Put(name, entry) => self.put(&name, entry, read),
            Change::Unreadable(name, reason) => {
                log::warn!(endpoint = name.as_str(), revision; "endpoint removed, its entry is not usable: {reason}");
                self.remove(&name, read);
            }
            Change::Removed(name) => match read.keep_until {
                Some(until) if self.entries.contains_key(&name) => {
                    log::info!(endpoint = name.as_str(), revision; "entry expired in an outage of the store; endpoint kept until it had time to register again");
                    self.missing.set(&name, until);
                }
                _ => self.remove(&name, read),
            },
        }
    }

    /// Returns when `expire` is next due; `None` if it is not.
    pub(super) fn next_due(&self) -> Option<Tick> {
        self.missing
            .next()
            .into_iter()
            .chain(self.doubted.next())
            .min()
    }

    /// Removes the endpoints that have not registered again in time, and takes entries that were still
    /// renewed for true.
    pub(super) fn expire(&mut self, read: RosterRead) {
        for name in self.missing.take_due(read.now) {
            self.remove(&name, read);
        }
        for name in self.doubted.take_due(read.now) {
            log::info!(endpoint = name.as_str(), revision = read.revision; "endpoint renews its entry; it may get requests again");
        }
    }

    /// Returns the endpoints to use, with their descriptions.
    pub(super) fn described(&self) -> Vec<(ListedEndpoint, &Description)> {
        let entries = self.entries.iter();
        let described = entries.map(|(name, entry)| {
            let mut listed = entry.listed.clone();
            listed.draining |= self.doubted.contains(name);
            (listed, &entry.description)
        });
        described.collect()
    }

    fn put(&mut self, name: &str, entry: RosterEntry, read: RosterRead) {
        let leaving = entry.listed.draining;
        let before = self.insert(name, entry, read);
        if before.is_none_or(|before| before.listed.draining != leaving) {
            log::info!(endpoint = name, revision = read.revision, leaving; "endpoint listed");
        }
    }

    /// Enters an entry and returns the one before, if there was one.
    fn insert(&mut self, name: &str, entry: RosterEntry, read: RosterRead) -> Option<RosterEntry> {
        self.missing.clear(name);
        let leaving = entry.listed.draining;
        let incarnation = entry.description.incarnation;
        match read.doubt_until {
            Some(until) if !leaving && self.had_left(name, incarnation) => {
                log::info!(endpoint = name, revision = read.revision; "entry is older than what is known; endpoint counts as leaving unless it renews the entry");
                self.doubted.set(name, until);
            }
            _ => self.doubted.clear(name),
        }
        self.entries.insert(name.to_owned(), entry)
    }

    /// Returns whether the process of `name` that started at `incarnation` had said that it leaves, or
    /// had been removed.
    fn had_left(&self, name: &str, incarnation: u64) -> bool {
        let entry = self.entries.get(name);
        let entry = entry.filter(|entry| entry.description.incarnation == incarnation);
        let left = entry.is_some_and(|entry| entry.listed.draining || self.doubted.contains(name));
        let removed = self.removed.get(name);
        left || removed.is_some_and(|(removed, _)| *removed == incarnation)
    }

    fn remove(&mut self, name: &str, read: RosterRead) {
        self.missing.clear(name);
        self.doubted.clear(name);
        self.removed
            .retain(|_, (_, at)| read.now - *at < REMOVAL_MEMORY);
        if let Some(entry) = self.entries.remove(name) {
            let incarnation = entry.description.incarnation;
            self.removed
                .insert(name.to_owned(), (incarnation, read.now));
            log::info!(endpoint = name, revision = read.revision; "endpoint removed");
        }
    }
}
