//! Decisions after a failed attempt, for every combination of inputs, and the retry budget.

use {
    lentillead::{
        board::Repeat,
        decide::{AttemptState, Chance, Failure, RetryBudget, after_failure},
    },
    std::fmt::Write,
};

const STATES: [AttemptState; 5] = [
    AttemptState::Unsent,
    AttemptState::Sent,
    AttemptState::Answered,
    AttemptState::NotRun,
    AttemptState::Unknown,
];

const CHANCES: [Chance; 4] = [
    Chance::Available,
    Chance::Suspect,
    Chance::DeadlinePassed,
    Chance::BudgetSpent,
];

#[test]
fn verdict_of_every_failure() {
    let mut table = String::new();
    for repeat in [Repeat::Idempotent, Repeat::AtMostOnce] {
        for may_have_run in [false, true] {
            for state in STATES {
                for chance in CHANCES {
                    let verdict = after_failure(Failure {
                        state,
                        may_have_run,
                        repeat,
                        chance,
                    });
                    let row =
                        format!("{repeat:?} may_have_run={may_have_run} {state:?} {chance:?}");
                    writeln!(table, "{row}: {verdict:?}").unwrap();
                }
            }
        }
    }
    insta::assert_snapshot!("retry_verdicts", table);
}

#[test]
fn budget_bounds_retries_to_a_share_of_requests() {
    let budget = RetryBudget::new(20, 3, 3);
    let mut retries = 0;
    for _ in 0..100 {
        budget.earn();
        retries += u32::from(budget.spend());
    }
    insta::assert_debug_snapshot!("retry_budget", retries);
}
