use {
    super::{COLUMNS, rule_text},
    crate::board::Rule,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Rules by branch.
pub type RulesByBranch = BTreeMap<String, Vec<Rule>>;

/// What changed in one branch between two sheets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BranchDiff {
    /// Branch.
    pub branch: String,
    /// Kinds that are new.
    pub added: Vec<String>,
    /// Kinds that are gone.
    pub removed: Vec<String>,
    /// Kinds whose rule differs.
    pub changed: Vec<KindDiff>,
}

impl BranchDiff {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

/// What changed in the rule of one kind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindDiff {
    /// Kind.
    pub kind: String,
    /// Columns that differ.
    pub fields: Vec<FieldDiff>,
}

/// A column that differs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FieldDiff {
    /// Column.
    pub column: String,
    /// Text in the earlier sheet.
    pub from: String,
    /// Text in the later sheet.
    pub to: String,
}

/// Groups rules by branch, keeping their order.
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

/// Compares two sheets; only branches that differ are returned, ordered by name.
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
