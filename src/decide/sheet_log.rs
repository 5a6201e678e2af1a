use {
    crate::{
        board::{Rule, Sheet},
        port::{BranchRules, SheetChange},
    },
    std::collections::BTreeMap,
};

/// Maximum number of removed branches (those without rules) that are remembered, so that changes
/// can report their removal.
const MAX_REMOVED: usize = 1_024;

/// The sheet in force by branch, with the revision in which each branch last changed.
#[derive(Clone, Debug, Default)]
pub struct SheetLog {
    revision: u64,
    branches: BTreeMap<String, BranchState>,
    /// Earliest revision after which all changes are known; branches that were removed up to it may
    /// have been forgotten.
    known_since: u64,
}

/// Rules of a branch, empty after its removal, and the revision of their last change.
#[derive(Clone, Debug)]
struct BranchState {
    revision: u64,
    rules: Vec<Rule>,
}

/// Result of applying a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The change is in force.
    InForce,
    /// The change is not later than the revision in force; nothing changed.
    Old,
    /// The change builds on a later revision than the one in force; nothing changed.
    Gap,
}

impl SheetLog {
    /// Returns the revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a change if it is later than the revision in force, which never goes back.
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
                let held = BranchState {
                    revision: change.revision,
                    rules: branch.rules,
                };
                self.branches.insert(branch.branch, held);
            }
        }
        self.revision = change.revision;
        self.prune();
        Applied::InForce
    }

    /// Returns the changes after revision `since`, or the complete sheet if these are no longer known.
    pub fn changes_since(&self, since: u64) -> SheetChange {
        let from = if since < self.known_since { 0 } else { since };
        let changed = self
            .branches
            .iter()
            .filter(|(_, held)| held.revision > from && !(from == 0 && held.rules.is_empty()));
        SheetChange {
            from,
            revision: self.revision,
            branches: changed
                .map(|(name, held)| branch_rules(name, held))
                .collect(),
        }
    }

    /// Builds the sheet in force.
    pub fn sheet(&self) -> Sheet {
        let rules = self.branches.values().flat_map(|held| &held.rules);
        Sheet::new(self.revision, rules.cloned())
    }

    /// Removes the rules of the branches that a complete sheet does not list.
    fn drop_missing(&mut self, complete: &SheetChange) {
        for (name, held) in &mut self.branches {
            let listed = complete
                .branches
                .iter()
                .any(|branch| branch.branch == *name);
            if !listed && !held.rules.is_empty() {
                held.rules.clear();
                held.revision = complete.revision;
            }
        }
    }

    /// Forgets the removed branches of the earliest revisions if there are too many.
    fn prune(&mut self) {
        let removed = self
            .branches
            .iter()
            .filter(|(_, held)| held.rules.is_empty());
        let mut removed: Vec<_> = removed
            .map(|(name, held)| (held.revision, name.clone()))
            .collect();
        if removed.len() <= MAX_REMOVED {
            return;
        }
        removed.sort_unstable();
        for (revision, name) in removed.drain(..MAX_REMOVED / 2) {
            self.known_since = self.known_since.max(revision);
            self.branches.remove(&name);
        }
    }
}

fn branch_rules(name: &str, held: &BranchState) -> BranchRules {
    BranchRules {
        branch: String::from(name),
        rules: held.rules.clone(),
    }
}
