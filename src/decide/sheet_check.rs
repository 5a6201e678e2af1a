use {
    super::{
        SheetFault, SheetRow,
        sheet_cell::{Cells, MODEL_MARKS, NAME_MARKS},
    },
    crate::board::{Borrow, Repeat, Route, Rule, Target},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Maximum number of faults that are listed; the rest are only counted.
pub const MAX_LISTED_FAULTS: usize = 1_000;
/// Maximum number of rules of one branch.
pub const MAX_BRANCH_RULES: usize = 1_000;

/// Number of the least urgent priority; 0 is the most urgent.
const MAX_PRIORITY: u64 = 9;
const MAX_FIRST_TOKEN_MS: u64 = 600_000;
const MAX_PER_TOKEN_MS: u64 = 60_000;

/// What a row routes to, by its pools.
#[derive(Clone, Copy, Debug)]
enum RowType {
    Model,
    Service,
    /// The pools are invalid; the columns that depend on them are not checked.
    Unknown,
}

impl RowType {
    fn new(route: Option<&Route>) -> Self {
        match route {
            Some(Route::Model { .. }) => Self::Model,
            Some(Route::Service { .. }) => Self::Service,
            None => Self::Unknown,
        }
    }
}

/// Checks all rows of a sheet and returns their rules.
///
/// `branches` are the branches that may appear; `None` skips this check.
///
/// # Errors
///
/// Returns the faults ordered by row, at most `MAX_LISTED_FAULTS` and one entry with the number of
/// the rest.
pub fn sheet_check(
    rows: &[SheetRow],
    branches: Option<&BTreeSet<String>>,
) -> Result<Vec<Rule>, Vec<SheetFault>> {
    let mut faults = Vec::new();
    let rules = rows
        .iter()
        .map(|row| parse_rule(&mut Cells::new(row, &mut faults)))
        .collect();
    if rows.is_empty() {
        faults.push(SheetFault::new(0, "", "no rows", "add a row for each kind"));
    }
    check_branches(rows, branches, &mut faults);
    check_duplicates(rows, &mut faults);
    if faults.is_empty() {
        return Ok(rules);
    }
    Err(shorten(faults))
}

/// Parses a row; where a cell has a fault, the rule holds a default value.
fn parse_rule(cells: &mut Cells<'_>) -> Rule {
    let route = cells.route("pools");
    let row_type = RowType::new(route.as_ref());
    let borrow = parse_borrow(cells, route.as_ref());
    Rule {
        branch: cells.name("branch", NAME_MARKS),
        kind: cells.name("kind", NAME_MARKS),
        priority: cells.number("priority", 0..=MAX_PRIORITY) as u8,
        model: parse_model(cells, "model", row_type),
        version: parse_model(cells, "version", row_type),
        adapter: parse_adapter(cells, row_type),
        repeat: parse_repeat(cells),
        target: parse_target(cells, row_type),
        route: route.unwrap_or(Route::Service {
            pool: String::new(),
        }),
        borrow,
    }
}

/// Parses a name that only a rule for a model has; adds a fault if a rule for a service has one.
fn parse_model(cells: &mut Cells<'_>, column: &'static str, row_type: RowType) -> String {
    match row_type {
        RowType::Model => return cells.name(column, MODEL_MARKS),
        RowType::Service => cells.empty(column, "leave empty for a service"),
        RowType::Unknown => {}
    }
    String::new()
}

fn parse_adapter(cells: &mut Cells<'_>, row_type: RowType) -> Option<String> {
    let adapter = cells.get("adapter");
    (!adapter.is_empty()).then(|| parse_model(cells, "adapter", row_type))
}

fn parse_repeat(cells: &mut Cells<'_>) -> Repeat {
    match cells.get("repeat") {
        "at-most-once" => Repeat::AtMostOnce,
        "idempotent" => Repeat::Idempotent,
        _ => {
            cells.fault("repeat", "use idempotent or at-most-once");
            Repeat::AtMostOnce
        }
    }
}

fn parse_target(cells: &mut Cells<'_>, row_type: RowType) -> Target {
    let first_token = cells.number("first_token_ms", 1..=MAX_FIRST_TOKEN_MS);
    let per_token = match row_type {
        RowType::Model => cells.number("per_token_ms", 1..=MAX_PER_TOKEN_MS),
        RowType::Service => {
            cells.empty("per_token_ms", "leave empty for a service");
            0
        }
        RowType::Unknown => 0,
    };
    Target {
        first_token: Duration::from_millis(first_token),
        per_token: Duration::from_millis(per_token),
    }
}

fn parse_borrow(cells: &mut Cells<'_>, own: Option<&Route>) -> Option<Borrow> {
    match (cells.get("borrow_pools"), cells.get("borrow_hours")) {
        ("", "") => return None,
        ("", _) => cells.fault(
            "borrow_pools",
            "name the pools to borrow, or leave borrow_hours empty",
        ),
        (_, "") => cells.fault(
            "borrow_hours",
            "give hours such as 17:00-21:30, or leave borrow_pools empty",
        ),
        _ => {}
    }
    let route = cells.route("borrow_pools")?;
    let (from, until) = cells.hours("borrow_hours")?;
    if Some(&route) == own {
        cells.fault("borrow_pools", "name pools other than the rule's own");
    }
    if let Some(own) = own
        && matches!(own, Route::Model { .. }) != matches!(route, Route::Model { .. })
    {
        cells.fault(
            "borrow_pools",
            "borrow PREFILL/DECODE for a model, one pool for a service",
        );
    }
    Some(Borrow { route, from, until })
}

/// Adds faults for unknown branches and for branches with too many rules.
fn check_branches(
    rows: &[SheetRow],
    branches: Option<&BTreeSet<String>>,
    faults: &mut Vec<SheetFault>,
) {
    let mut counts = HashMap::<&str, usize>::new();
    for row in rows {
        let branch = row.get("branch");
        let count = counts.entry(branch).or_default();
        *count += 1;
        if *count == MAX_BRANCH_RULES + 1 {
            let remedy =
                format!("remove rows of this branch: at most {MAX_BRANCH_RULES} are allowed");
            faults.push(SheetFault::new(row.line, "branch", branch, remedy));
        }
        let known = branches.is_none_or(|branches| branches.contains(branch));
        if !known && !branch.is_empty() {
            let remedy = "add the branch to the settings of the daemons, or correct its name";
            faults.push(SheetFault::new(row.line, "branch", branch, remedy));
        }
    }
}

/// Adds a fault for each row that has the branch and kind of an earlier one.
fn check_duplicates(rows: &[SheetRow], faults: &mut Vec<SheetFault>) {
    let mut first = HashMap::new();
    for row in rows {
        let name = (row.get("branch"), row.get("kind"));
        let earlier = *first.entry(name).or_insert(row.line);
        if earlier != row.line {
            let value = format!("{} {}", name.0, name.1);
            let remedy = format!("keep one row for this branch and kind; row {earlier} is another");
            faults.push(SheetFault::new(row.line, "kind", value, remedy));
        }
    }
}

/// Orders the faults by row and limits their number.
fn shorten(mut faults: Vec<SheetFault>) -> Vec<SheetFault> {
    faults.sort_by_key(|fault| fault.row);
    let more = faults.len().saturating_sub(MAX_LISTED_FAULTS);
    if more > 0 {
        faults.truncate(MAX_LISTED_FAULTS);
        let found = format!("{more} more faults");
        faults.push(SheetFault::new(
            0,
            "",
            found,
            "fix the listed faults and check again",
        ));
    }
    faults
}
