//! docs/OPERATIONS.md has a table row for every refusal and retry reason.

use lentillead::board::{Refusal, RetryReason};

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

#[test]
fn every_refusal_and_retry_reason_is_explained() {
    let refusals = Refusal::ALL.map(Refusal::as_str);
    let retries = RetryReason::ALL.map(RetryReason::as_str);
    let missing = refusals
        .iter()
        .chain(&retries)
        .filter(|reason| !PAGE.contains(&format!("\n| `{reason}` | ")))
        .collect::<Vec<_>>();
    assert!(missing.is_empty(), "add rows for {missing:?}");
}
