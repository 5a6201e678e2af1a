use {
    crate::{
        board::{Repeat, Route, Rule, Target},
        border::PlatformClient,
        control::{SheetStore, Submission},
    },
    std::{io, time::Duration},
};

/// Sheet with rules for many branches, of which each submission changes one rule.
#[derive(Debug)]
pub(super) struct CapacitySheet {
    store: SheetStore<PlatformClient>,
    rules: Vec<Rule>,
    rules_per_branch: usize,
    revision: u64,
    count: u64,
}

impl CapacitySheet {
    /// Builds a sheet of `branches` branches with `rules_per_branch` rules each, without
    /// submitting it.
    pub(super) fn new(platform: PlatformClient, branches: usize, rules_per_branch: usize) -> Self {
        let rules = (0..branches * rules_per_branch)
            .map(|i| rule(i / rules_per_branch.max(1), i % rules_per_branch.max(1)));
        Self {
            store: SheetStore::new(platform),
            rules: rules.collect(),
            rules_per_branch,
            revision: 0,
            count: 0,
        }
    }

    /// Returns the revision that was accepted last; 0 before the first.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Changes the priority of one rule and submits the sheet.
    ///
    /// Fails if the store refuses the sheet or cannot be reached.
    pub(super) async fn submit(&mut self) -> io::Result<()> {
        self.count += 1;
        let index = self.count as usize * self.rules_per_branch % self.rules.len().max(1);
        if let Some(rule) = self.rules.get_mut(index) {
            rule.priority = rule.priority % 9 + 1;
        }
        let submission = Submission {
            base: self.revision,
            rules: self.rules.clone(),
            change: format!("change-{}", self.count),
            author: String::from("capacity"),
            time: self.count,
            known_revision: 0,
        };
        let accepted = self.store.submit(submission).await;
        self.revision = accepted.map_err(io::Error::other)?.revision;
        Ok(())
    }
}

fn rule(branch: usize, number: usize) -> Rule {
    Rule {
        branch: format!("organisation-{branch:03}"),
        kind: format!("kind-{number:03}"),
        route: Route::Model {
            prefill: format!("prefill-{}", number % 7),
            decode: format!("decode-{}", number % 7),
        },
        priority: 1,
        model: format!("model-{}", number % 7),
        version: String::from("2026-11"),
        adapter: Some(format!("house-style-{branch:03}")),
        repeat: Repeat::Idempotent,
        target: Target {
            first_token: Duration::from_millis(920),
            per_token: Duration::from_millis(36),
        },
        borrow: None,
    }
}
