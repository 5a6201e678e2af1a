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

/// Faults that are listed; more are only counted.
pub const LISTED_FAULTS: usize = 1_000;
/// Rules that one branch may have.
pub const BRANCH_RULES_MAX: usize = 1_000;

const PRIORITY_MAX: u64 = 9;
const FIRST_TOKEN_MS_MAX: u64 = 600_000;
const PER_TOKEN_MS_MAX: u64 = 60_000;

/// What a row is for, as its pools tell.
#[derive(Clone, Copy, Debug)]
enum Sort {
    Model,
    Service,
    /// The pools are wrong; the columns that depend on them are not checked.
    Unknown,
}

impl Sort {
    fn new(route: Option<&Route>) -> Self {
        match route {
            Some(Route::Model { .. }) => Self::Model,
            Some(Route::Service { .. }) => Self::Service,
            None => Self::Unknown,
        }
    }
}

/// Checks `rows` as a whole: returns every rule, or what is wrong.
///
/// `branches` are the branches that may appear, if they are known.
pub fn sheet_check(
    rows: &[SheetRow],
    branches: Option<&BTreeSet<String>>,
) -> Result<Vec<Rule>, Vec<SheetFault>> {
    let mut faults = Vec::new();
    let rules = rows
        .iter()
        .map(|row| read_rule(&mut Cells::new(row, &mut faults)))
        .collect();
    if rows.is_empty() {
        faults.push(SheetFault::new(0, "", "no rows", "add a row for each kind"));
    }
    check_branches(rows, branches, &mut faults);
    check_repeats(rows, &mut faults);
    if faults.is_empty() {
        return Ok(rules);
    }
    Err(shorten(faults))
}

fn read_rule(cells: &mut Cells<'_>) -> Rule {
    let route = cells.route("pools");
    let sort = Sort::new(route.as_ref());
    let borrow = read_borrow(cells, route.as_ref());
    Rule {
        branch: cells.name("branch", NAME_MARKS),
        kind: cells.name("kind", NAME_MARKS),
        priority: cells.number("priority", 0..=PRIORITY_MAX) as u8,
        model: read_model(cells, "model", sort),
        version: read_model(cells, "version", sort),
        adapter: read_adapter(cells, sort),
        repeat: read_repeat(cells),
        target: read_target(cells, sort),
        route: route.unwrap_or(Route::Service {
            pool: String::new(),
        }),
        borrow,
    }
}

fn read_model(cells: &mut Cells<'_>, column: &'static str, sort: Sort) -> String {
    match sort {
        Sort::Model => return cells.name(column, MODEL_MARKS),
        Sort::Service => cells.empty(column, "leave empty for a service"),
        Sort::Unknown => {}
    }
    String::new()
}

fn read_adapter(cells: &mut Cells<'_>, sort: Sort) -> Option<String> {
    let adapter = cells.get("adapter");
    (!adapter.is_empty()).then(|| read_model(cells, "adapter", sort))
}

fn read_repeat(cells: &mut Cells<'_>) -> Repeat {
    match cells.get("repeat") {
        "at-most-once" => Repeat::AtMostOnce,
        "idempotent" => Repeat::Idempotent,
        _ => {
            cells.fault("repeat", "use idempotent or at-most-once");
            Repeat::AtMostOnce
        }
    }
}

fn read_target(cells: &mut Cells<'_>, sort: Sort) -> Target {
    let first_token = cells.number("first_token_ms", 1..=FIRST_TOKEN_MS_MAX);
    let per_token = match sort {
        Sort::Model => cells.number("per_token_ms", 1..=PER_TOKEN_MS_MAX),
        Sort::Service => {
            cells.empty("per_token_ms", "leave empty for a service");
            0
        }
        Sort::Unknown => 0,
    };
    Target {
        first_token: Duration::from_millis(first_token),
        per_token: Duration::from_millis(per_token),
    }
}

fn read_borrow(cells: &mut Cells<'_>, own: Option<&Route>) -> Option<Borrow> {
    match (cells.get("borrow_pools"), cells.get("borrow_hours")) {
        ("", "") => return None,
        ("", _) => cells.fault("borrow_pools", "give the pools to borrow, or no hours"),
        (_, "") => cells.fault(
            "borrow_hours",
            "give hours such as 17:00-21:30, or no pools",
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
        if *count == BRANCH_RULES_MAX + 1 {
            let remedy = format!("give a branch at most {BRANCH_RULES_MAX} rows");
            faults.push(SheetFault::new(row.line, "branch", branch, remedy));
        }
        let known = branches.is_none_or(|branches| branches.contains(branch));
        if !known && !branch.is_empty() {
            let remedy = "add the branch to the settings of the daemons, or correct its name";
            faults.push(SheetFault::new(row.line, "branch", branch, remedy));
        }
    }
}

fn check_repeats(rows: &[SheetRow], faults: &mut Vec<SheetFault>) {
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

fn shorten(mut faults: Vec<SheetFault>) -> Vec<SheetFault> {
    faults.sort_by_key(|fault| fault.row);
    let more = faults.len().saturating_sub(LISTED_FAULTS);
    if more > 0 {
        faults.truncate(LISTED_FAULTS);
        let found = format!("{more} more faults");
        faults.push(SheetFault::new(
            0,
            "",
            found,
            "mend those listed and check again",
        ));
    }
    faults
}
