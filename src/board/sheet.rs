use {super::Rule, crate::key::RuleKey, slotmap::SlotMap, std::collections::HashMap};

/// The sheet (routing configuration) in force.
#[derive(Clone, Debug, Default)]
pub struct Sheet {
    /// Revision of the sheet; 0 while no sheet has been accepted yet.
    pub revision: u64,
    /// Rules in row order.
    pub rules: SlotMap<RuleKey, Rule>,
    /// Key of the rule by branch name, then by request kind.
    pub by_kind: HashMap<String, HashMap<String, RuleKey>>,
}

impl Sheet {
    /// Builds the sheet from `rules`, with their lookup by branch and kind.
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

    /// Returns the rule for `kind` of `branch`, or `None` if the sheet has none.
    pub fn rule(&self, branch: &str, kind: &str) -> Option<&Rule> {
        let key = self.by_kind.get(branch)?.get(kind)?;
        self.rules.get(*key)
    }
}
