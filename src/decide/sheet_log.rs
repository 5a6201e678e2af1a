use {
    crate::{
        board::{Rule, Sheet},
        port::{BranchRules, SheetChange},
    },
    std::collections::BTreeMap,
};

/// Branches without rules that are remembered, so that a change can tell of their end.
const GONE_MAX: usize = 1_024;

/// The sheet in force by branch, with the revision in which each branch changed last.
#[derive(Clone, Debug, Default)]
pub struct SheetLog {
    revision: u64,
    branches: BTreeMap<String, Held>,
    horizon: u64,
}

#[derive(Clone, Debug)]
struct Held {
    revision: u64,
    rules: Vec<Rule>,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// It is in force.
    InForce,
    /// It is not later than what is in force; nothing changed.
    Old,
    /// It starts from a later revision than the one in force; nothing changed.
    Gap,
}

impl SheetLog {
    /// Revision in force, 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a change if it is later than what is in force; the revision never goes back.
    pub fn apply(&mut self, change: SheetChange) -> Applied {
        if change.revision <= self.revision {
            return Applied::Old;
        }
        if change.from > self.revision {
            return Applied::Gap;
        }
        if change.from == 0 {
            self.drop_missing(&change);
        }
        for branch in change.branches {
            let held = self.branches.get(&branch.branch);
            if held.is_none_or(|held| held.rules != branch.rules) {
                let held = Held {
                    revision: change.revision,
                    rules: branch.rules,
                };
                self.branches.insert(branch.branch, held);
            }
        }
        self.revision = change.revision;
        self.forget();
        Applied::InForce
    }

    /// Returns what has changed after `since`; the whole sheet if that is not known any more.
    pub fn changes_since(&self, since: u64) -> SheetChange {
        let from = if since < self.horizon { 0 } else { since };
        let changed = self
            .branches
            .iter()
            .filter(|(_, held)| held.revision > from && !(from == 0 && held.rules.is_empty()));
        SheetChange {
            from,
            revision: self.revision,
            branches: changed.map(|(name, held)| told(name, held)).collect(),
        }
    }

    /// Builds the sheet in force.
    pub fn sheet(&self) -> Sheet {
        let rules = self.branches.values().flat_map(|held| &held.rules);
        Sheet::new(self.revision, rules.cloned())
    }

    /// Empties the branches that a whole sheet does not list.
    fn drop_missing(&mut self, whole: &SheetChange) {
        for (name, held) in &mut self.branches {
            let listed = whole.branches.iter().any(|branch| branch.branch == *name);
            if !listed && !held.rules.is_empty() {
                held.rules.clear();
                held.revision = whole.revision;
            }
        }
    }

    fn forget(&mut self) {
        let gone = self
            .branches
            .iter()
            .filter(|(_, held)| held.rules.is_empty());
        let mut gone: Vec<_> = gone
            .map(|(name, held)| (held.revision, name.clone()))
            .collect();
        if gone.len() <= GONE_MAX {
            return;
        }
        gone.sort_unstable();
        for (revision, name) in gone.drain(..GONE_MAX / 2) {
            self.horizon = self.horizon.max(revision);
            self.branches.remove(&name);
        }
    }
}

fn told(name: &str, held: &Held) -> BranchRules {
    BranchRules {
        branch: String::from(name),
        rules: held.rules.clone(),
    }
}
