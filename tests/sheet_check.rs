//! Reading, checking, writing and comparing sheets.

use {
    insta::{assert_debug_snapshot, assert_snapshot, assert_yaml_snapshot},
    lentillead::{
        board::Rule,
        border::{MAX_SHEET_BYTES, read_sheet, write_sheet},
        decide::{
            COLUMNS, SheetFault, by_branch, minute_of_day, routes, rule_text, sheet_check,
            sheet_diff,
        },
    },
    proptest::{collection::vec, prelude::any, prop_assert_eq, proptest},
    std::collections::BTreeSet,
};

const FAULTY: &[u8] = include_bytes!("sheets/faulty.csv");
const KOVACSRETI: &[u8] = include_bytes!("../examples/kovacsreti/sheet.csv");
const TRIN_CYMRU: &[u8] = include_bytes!("../examples/trin-cymru/sheet.csv");

/// Reads and checks a sheet without a list of known branches.
fn check(bytes: &[u8]) -> Result<Vec<Rule>, Vec<SheetFault>> {
    sheet_check(&read_sheet(bytes)?, None)
}

/// One line per fault.
fn lines(faults: &[SheetFault]) -> String {
    let lines = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
    lines.join("\n")
}

#[test]
fn every_fault_has_row_column_value_and_remedy() {
    let branches = BTreeSet::from(["north".to_owned()]);
    let rows = read_sheet(FAULTY).unwrap();
    let faults = sheet_check(&rows, Some(&branches)).unwrap_err();
    assert_snapshot!("sheet_faults", lines(&faults));
}

#[test]
fn faults_of_unreadable_sheets_name_the_position() {
    let header = COLUMNS.join(",");
    let mut too_large = header.clone().into_bytes();
    too_large.resize(MAX_SHEET_BYTES + 1, b'\n');
    let mut latin = format!("{header}\nnorth,caf").into_bytes();
    latin.extend_from_slice(b"\xe9,p/d");
    let wrong_header = header.replace("kind", "knid").replace("model", "branch");
    let cases = [
        ("empty", Vec::new()),
        ("no rows", header.clone().into_bytes()),
        ("too large", too_large),
        ("not UTF-8", latin),
        ("header", wrong_header.into_bytes()),
        ("cells", format!("{header}\na,b\n").into_bytes()),
    ];
    let seen =
        cases.map(|(name, bytes)| format!("{name}:\n{}", lines(&check(&bytes).unwrap_err())));
    assert_snapshot!("sheet_unreadable", seen.join("\n"));
}

#[test]
fn the_largest_sheet_is_rejected_for_one_bad_row() {
    const ROWS: usize = 21_000;

    let rows = (0..ROWS).map(|row| {
        let priority = if row == ROWS / 2 { 10 } else { 1 };
        let branch = row / 500;
        format!("branch-{branch},kind-{row},pool,{priority},,,,idempotent,400,,,")
    });
    let text = COLUMNS.join(",") + "\n" + &rows.collect::<Vec<_>>().join("\n");
    assert!(MAX_SHEET_BYTES - text.len() < 50_000, "{}", text.len());
    let faults = check(text.as_bytes()).unwrap_err();
    assert_snapshot!("sheet_largest", lines(&faults));
}

#[test]
fn examples_are_accepted_and_written_back() {
    for bytes in [KOVACSRETI, TRIN_CYMRU] {
        let rules = check(bytes).unwrap();
        let text = write_sheet(rules.iter().map(rule_text)).unwrap();
        assert_eq!(text.as_bytes(), bytes);
    }
    assert_debug_snapshot!("sheet_rules", &check(TRIN_CYMRU).unwrap()[3..5]);
}

#[test]
fn columns_may_have_any_order_after_a_byte_order_mark() {
    let rows = read_sheet(TRIN_CYMRU).unwrap();
    let mut text = "\u{feff}".to_owned();
    let header = COLUMNS.map(str::to_owned);
    for cells in [&header]
        .into_iter()
        .chain(rows.iter().map(|row| &row.cells))
    {
        let cells = cells.iter().rev().cloned().collect::<Vec<_>>();
        text.push_str(&cells.join(" , "));
        text.push_str("\r\n");
    }
    assert_eq!(check(text.as_bytes()), check(TRIN_CYMRU));
}

#[test]
fn diff_names_the_columns() {
    let from = check(TRIN_CYMRU).unwrap();
    let mut to = from.clone();
    to[0].priority = 7;
    to[4].borrow = None;
    to[4].adapter = None;
    to.remove(3);
    to[1].kind = "walk-in".to_owned();
    assert_yaml_snapshot!("sheet_diff", sheet_diff(&by_branch(from), &by_branch(to)));
}

#[test]
fn the_borrowed_route_is_added_within_its_hours() {
    let mut rule = check(TRIN_CYMRU).unwrap().remove(4);
    let count = |rule: &Rule, minute| routes(rule, minute).count();
    let day = [16 * 60 + 59, 17 * 60, 21 * 60 + 29, 21 * 60 + 30].map(|m| count(&rule, m));
    let borrow = rule.borrow.as_mut().unwrap();
    (borrow.from, borrow.until) = (22 * 60, 60);
    let night = [21 * 60 + 59, 22 * 60, 0, 59, 60].map(|m| count(&rule, m));
    assert_eq!((day, night), ([1, 2, 2, 1], [1, 2, 2, 2, 1]));
    assert_eq!(minute_of_day(86_400_000 * 3 + 61 * 60_000 + 59_999), 61);
}

proptest! {
    #[test]
    fn any_bytes_give_rules_or_faults(bytes in vec(any::<u8>(), 0..300)) {
        let faults = check(&bytes).unwrap_err();
        prop_assert_eq!(faults.is_empty(), false);
    }

    #[test]
    fn any_cells_give_rules_or_faults(rows in vec("[a-z0-9/:\" \n,-]{0,40}", 0..8)) {
        let text = COLUMNS.join(",") + "\n" + &rows.join("\n");
        if let Err(faults) = check(text.as_bytes()) {
            prop_assert_eq!(faults.is_empty(), false);
        }
    }

    #[test]
    fn accepted_rules_survive_writing_and_reading(
        name in "[a-zA-Z0-9._-]{1,64}",
        priority in 0..10_u8,
        from in 0..1440_u16,
        length in 1..1440_u16,
    ) {
        let mut rules = check(TRIN_CYMRU).unwrap();
        rules[4].kind = name;
        rules[4].priority = priority;
        let borrow = rules[4].borrow.as_mut().unwrap();
        (borrow.from, borrow.until) = (from, (from + length) % 1440);
        let text = write_sheet(rules.iter().map(rule_text)).unwrap();
        prop_assert_eq!(check(text.as_bytes()), Ok(rules));
    }
}
