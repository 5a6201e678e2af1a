use {crate::key::HostKey, slotmap::SecondaryMap, std::collections::BTreeSet};

/// Hosts whose state has changed lately, those told least often first.
///
/// Each entry is given out a bounded number of times, which is what bounds the cost of spreading
/// one change (SWIM, section 4.1).
#[derive(Clone, Debug, Default)]
pub struct NewsQueue {
    order: BTreeSet<Entry>,
    entries: SecondaryMap<HostKey, Entry>,
    sequence: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Entry {
    told: u32,
    sequence: u64,
    host: HostKey,
}

impl NewsQueue {
    /// Starts spreading the state of `host` anew.
    pub fn push(&mut self, host: HostKey) {
        self.remove(host);
        self.sequence += 1;
        self.add(Entry {
            told: 0,
            sequence: self.sequence,
            host,
        });
    }

    /// Stops spreading the state of `host`.
    pub fn remove(&mut self, host: HostKey) {
        if let Some(entry) = self.entries.remove(host) {
            self.order.remove(&entry);
        }
    }

    /// Gives out up to `count` hosts; those told `limit` times leave the queue.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<HostKey> {
        let taken: Vec<Entry> = self.order.iter().take(count).copied().collect();
        for entry in &taken {
            self.remove(entry.host);
            let told = entry.told + 1;
            if told < limit {
                self.add(Entry { told, ..*entry });
            }
        }
        taken.into_iter().map(|entry| entry.host).collect()
    }

    /// Number of hosts in the queue.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether nothing is left to tell.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn add(&mut self, entry: Entry) {
        self.order.insert(entry);
        self.entries.insert(entry.host, entry);
    }
}
