use {
    super::AttemptState,
    crate::board::{Refusal, Repeat},
};

/// What to do after an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Make another attempt.
    Retry,
    /// Refuse, stating that the request did not run.
    NotRun(Refusal),
    /// Refuse, stating that the outcome is unknown.
    Unknown(Refusal),
}

/// What is known when an attempt has failed.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// State of the failed attempt.
    pub state: AttemptState,
    /// Whether an earlier attempt may have run.
    pub tainted: bool,
    /// Whether the request may be repeated.
    pub repeat: Repeat,
    /// Whether another attempt is possible at all.
    pub chance: Chance,
}

/// Whether another attempt is possible.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Chance {
    /// There is time and budget.
    Open,
    /// The request is refused as a cause of crashes.
    Suspect,
    /// The deadline has passed.
    Late,
    /// The retry budget is spent.
    Spent,
}

/// Decides whether a failed attempt is followed by another.
///
/// "Not run" is said only if no attempt can have run. An attempt with an unknown outcome is
/// repeated only if the request is idempotent.
pub fn after_failure(failure: Failure) -> Verdict {
    let may_have_run = failure.tainted || !failure.state.is_not_run();
    if may_have_run && failure.repeat == Repeat::AtMostOnce {
        return Verdict::Unknown(Refusal::OutcomeUnknown);
    }
    let reason = match failure.chance {
        Chance::Open => return Verdict::Retry,
        Chance::Suspect => Refusal::CrashSuspect,
        Chance::Late => Refusal::DeadlinePassed,
        Chance::Spent => Refusal::RetryBudget,
    };
    if may_have_run {
        Verdict::Unknown(reason)
    } else {
        Verdict::NotRun(reason)
    }
}
