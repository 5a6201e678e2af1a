use {crate::board::Tick, std::collections::BTreeMap};

/// Names, each with a time at which something is due.
#[derive(Debug, Default)]
pub(super) struct Deadlines {
    due: BTreeMap<String, Tick>,
}

impl Deadlines {
    /// Sets or replaces the deadline of `name`.
    pub(super) fn set(&mut self, name: &str, due: Tick) {
        self.due.insert(name.to_owned(), due);
    }

    /// Removes the deadline of `name`, if it has one.
    pub(super) fn clear(&mut self, name: &str) {
        self.due.remove(name);
    }

    /// Returns whether `name` has a deadline.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.due.contains_key(name)
    }

    /// Returns the first deadline; `None` if there are none.
    pub(super) fn next(&self) -> Option<Tick> {
        self.due.values().min().copied()
    }

    /// Removes and returns the names whose deadline is `now` or earlier.
    pub(super) fn take_due(&mut self, now: Tick) -> Vec<String> {
        let due = self.due.iter().filter(|(_, due)| **due <= now);
        let names: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        self.due.retain(|_, due| *due > now);
        names
    }
}
