use {
    super::AttemptState,
    crate::board::{Refusal, Repeat},
};

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Make another attempt.
    Retry,
    /// Refuse the request and state that it did not run.
    NotRun(Refusal),
    /// Refuse the request and state that its outcome is unknown.
    Unknown(Refusal),
}

/// What is known about a request when an attempt has failed.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// State of the failed attempt.
    pub state: AttemptState,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether the request may be repeated.
    pub repeat: Repeat,
    /// Whether another attempt is possible, or why not.
    pub chance: Chance,
}

/// Whether another attempt is possible, or why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Chance {
    /// Time and retry budget are left.
    Available,
    /// The request is a crash suspect and refused.
    Suspect,
    /// The deadline has passed.
    DeadlinePassed,
    /// The retry budget is spent.
    BudgetSpent,
}

/// Decides whether a failed attempt is followed by another.
///
/// The verdict is `NotRun` only if no attempt can have run. After an attempt with an unknown outcome
/// only an idempotent request is retried.
pub fn after_failure(failure: Failure) -> Verdict {
    let may_have_run = failure.may_have_run || !failure.state.is_not_run();
    if may_have_run && failure.repeat == Repeat::AtMostOnce {
        return Verdict::Unknown(Refusal::OutcomeUnknown);
    }
    let reason = match failure.chance {
        Chance::Available => return Verdict::Retry,
        Chance::Suspect => Refusal::CrashSuspect,
        Chance::DeadlinePassed => Refusal::DeadlinePassed,
        Chance::BudgetSpent => Refusal::RetryBudget,
    };
    if may_have_run {
        Verdict::Unknown(reason)
    } else {
        Verdict::NotRun(reason)
    }
}
