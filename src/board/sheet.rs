use {super::Rule, crate::key::RuleKey, slotmap::SlotMap, std::collections::HashMap};

/// The sheet in force.
#[derive(Clone, Debug, Default)]
pub struct Sheet {
    /// Revision; 0 while no sheet has ever been accepted.
    pub revision: u64,
    /// Rules in row order.
    pub rules: SlotMap<RuleKey, Rule>,
    /// Rule by branch name, then kind.
    pub by_kind: HashMap<String, HashMap<String, RuleKey>>,
}

impl Sheet {
    /// Builds the lookup structure over `rules`.
    pub fn new<I>(revision: u64, rules: I) -> Self
    where
        I: IntoIterator<Item = Rule>,
    {
        let mut sheet = Self {
            revision,
            ..Self::default()
        };
        for rule in rules {
            let branch = rule.branch.clone();
            let kind = rule.kind.clone();
            let key = sheet.rules.insert(rule);
            sheet.by_kind.entry(branch).or_default().insert(kind, key);
        }
        sheet
    }

    /// Returns the rule for `kind` of `branch`.
    pub fn rule(&self, branch: &str, kind: &str) -> Option<&Rule> {
        let key = self.by_kind.get(branch)?.get(kind)?;
        self.rules.get(*key)
    }
}
