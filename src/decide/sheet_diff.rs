use {
    super::{COLUMNS, rule_text},
    crate::board::Rule,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Rules of a sheet by the name of their branch.
pub type RulesByBranch = BTreeMap<String, Vec<Rule>>;

/// Changes of one branch between two sheets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BranchDiff {
    /// Name of the branch.
    pub branch: String,
    /// Kinds that only the later sheet has a rule for.
    pub added: Vec<String>,
    /// Kinds that only the earlier sheet has a rule for.
    pub removed: Vec<String>,
    /// Kinds whose rule differs, with the differences.
    pub changed: Vec<KindDiff>,
}

impl BranchDiff {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

/// Changes of the rule of one kind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindDiff {
    /// Kind of the requests that the rule applies to.
    pub kind: String,
    /// Columns that differ, in the order of the sheet.
    pub fields: Vec<FieldDiff>,
}

/// A column that differs between two rules.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FieldDiff {
    /// Name of the column.
    pub column: String,
    /// Text in the earlier sheet.
    pub from: String,
    /// Text in the later sheet.
    pub to: String,
}

/// Groups rules by branch and keeps their order.
pub fn by_branch<I>(rules: I) -> RulesByBranch
where
    I: IntoIterator<Item = Rule>,
{
    let mut branches = RulesByBranch::new();
    for rule in rules {
        branches.entry(rule.branch.clone()).or_default().push(rule);
    }
    branches
}

/// Returns the changes between two sheets: the branches that differ, ordered by name.
pub fn sheet_diff(from: &RulesByBranch, to: &RulesByBranch) -> Vec<BranchDiff> {
    let mut names = from.keys().chain(to.keys()).collect::<Vec<_>>();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .map(|name| branch_diff(name, rules(from, name), rules(to, name)))
        .filter(|diff| !diff.is_empty())
        .collect()
}

fn rules<'a>(sheet: &'a RulesByBranch, branch: &str) -> &'a [Rule] {
    sheet.get(branch).map_or(&[], Vec::as_slice)
}

fn branch_diff(branch: &str, from: &[Rule], to: &[Rule]) -> BranchDiff {
    let before = by_kind(from);
    let after = by_kind(to);
    let changed = after.iter().filter_map(|(kind, rule)| {
        let fields = field_diffs(before.get(kind)?, rule);
        let kind = (*kind).to_owned();
        (!fields.is_empty()).then_some(KindDiff { kind, fields })
    });
    BranchDiff {
        branch: branch.to_owned(),
        added: only_in(&after, &before),
        removed: only_in(&before, &after),
        changed: changed.collect(),
    }
}

fn by_kind(rules: &[Rule]) -> BTreeMap<&str, &Rule> {
    rules.iter().map(|rule| (&*rule.kind, rule)).collect()
}

fn only_in(here: &BTreeMap<&str, &Rule>, there: &BTreeMap<&str, &Rule>) -> Vec<String> {
    here.keys()
        .filter(|kind| !there.contains_key(*kind))
        .map(|kind| (*kind).to_owned())
        .collect()
}

fn field_diffs(from: &Rule, to: &Rule) -> Vec<FieldDiff> {
    COLUMNS
        .into_iter()
        .zip(rule_text(from).into_iter().zip(rule_text(to)))
        .filter(|(_, (from, to))| from != to)
        .map(|(column, (from, to))| FieldDiff {
            column: column.to_owned(),
            from,
            to,
        })
        .collect()
}
