use {
    super::{Call, Parts, Progress, Ran, Refused, RetryPermit, Shared, overdue_call::CallError},
    crate::{
        board::{RetryReason, Role},
        decide::{AttemptState, Chance, Failure, Verdict, after_failure},
        port::{Clock, Engine, EngineError, Grant, RequestLog},
    },
    log::Level,
    std::time::Duration,
};

/// Wait between a failed attempt and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// A failed call to an endpoint.
#[derive(Debug)]
pub struct FailedCall {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Address of the endpoint.
    pub address: String,
    /// Number of the attempt within its request.
    pub attempt: u16,
    /// Role in which the endpoint was called.
    pub role: Role,
    /// How the call failed.
    pub error: EngineError,
    /// Retry taken before the call was given up.
    permit: Option<RetryPermit>,
}

impl FailedCall {
    /// Describes the failure of a call under `grant`.
    pub fn new<E>(grant: &Grant, role: Role, error: E) -> Self
    where
        E: Into<CallError>,
    {
        let CallError { error, permit } = error.into();
        let endpoint = grant.endpoint.clone();
        let address = grant.address.clone();
        let attempt = grant.attempt.number;
        Self {
            endpoint,
            address,
            attempt,
            role,
            error,
            permit,
        }
    }

    /// Reports the request to the suspect controller if the endpoint crashed while it ran it.
    async fn report_crash<P>(&self, shared: &Shared<P>, call: &Call)
    where
        P: Parts,
    {
        if matches!(self.error, EngineError::Broken(_)) && self.has_crashed(shared, call).await {
            shared
                .parts()
                .suspicions()
                .report_crash(call.fingerprint, &self.endpoint)
                .await;
        }
    }

    /// Whether the endpoint is unreachable or has restarted since the request arrived.
    ///
    /// A plain service has no description, so any broken call to it counts as a crash.
    async fn has_crashed<P>(&self, shared: &Shared<P>, call: &Call) -> bool
    where
        P: Parts,
    {
        if self.role == Role::Service {
            return true;
        }
        let waited = shared.now() - call.arrived;
        let arrived = shared.unix_ms().saturating_sub(waited.as_millis() as u64);
        match shared.parts().engine().describe(&self.address).await {
            Ok(description) => description.incarnation >= arrived,
            Err(error) => matches!(error, EngineError::Unsent(_)),
        }
    }

    /// Decides what follows; a retry is spent from the branch's budget unless it was taken before.
    ///
    /// `may_have_run` states whether an earlier attempt may have run.
    fn verdict<P>(&self, shared: &Shared<P>, call: &Call, may_have_run: bool) -> Verdict
    where
        P: Parts,
    {
        let chance = if shared.is_refused(call.fingerprint) {
            Chance::Suspect
        } else if shared.left(call.deadline).is_zero() {
            Chance::DeadlinePassed
        } else {
            Chance::Available
        };
        let failure = Failure {
            state: self.state(),
            may_have_run,
            repeat: call.rule.repeat,
            chance,
        };
        let verdict = after_failure(failure);
        let spent = || {
            shared
                .budget(call.branch)
                .is_some_and(|budget| !budget.spend())
        };
        if verdict == Verdict::Retry && self.permit.is_none() && spent() {
            return after_failure(Failure {
                chance: Chance::BudgetSpent,
                ..failure
            });
        }
        verdict
    }

    /// Reports a crash, decides what follows and waits until the next attempt may start.
    ///
    /// # Errors
    ///
    /// Refuses the request if no further attempt is to be made.
    pub async fn wait_to_retry<P>(
        self,
        shared: &Shared<P>,
        call: &Call,
        progress: &Progress,
    ) -> Result<(), Refused>
    where
        P: Parts,
    {
        // Reports the crash first: it may make this request one that is not retried.
        self.report_crash(shared, call).await;
        let verdict = self.verdict(shared, call, progress.ran() == Ran::Unknown);
        self.log(call, progress);
        let (detail, reason) = (self.error.to_string(), self.retry_reason());
        match verdict {
            Verdict::Retry => {
                if let Some(permit) = self.permit {
                    permit.spend();
                }
            }
            Verdict::NotRun(reason) => return Err(Refused::not_run(reason, &detail)),
            Verdict::Unknown(reason) => return Err(Refused::unknown(reason, &detail)),
        }
        shared.counters().count_retry(reason);
        shared.parts().clock().sleep(RETRY_DELAY).await;
        Ok(())
    }

    fn retry_reason(&self) -> RetryReason {
        match (&self.error, self.role) {
            (EngineError::Unsent(_), _) => RetryReason::Unsent,
            (EngineError::Refused(_), _) => RetryReason::Refused,
            (_, Role::Service) => RetryReason::CallBroken,
            (EngineError::CacheEvicted, _) => RetryReason::CacheEvicted,
            (_, Role::Prefill) => RetryReason::PrefillBroken,
            (_, Role::Decode) => RetryReason::Moved,
        }
    }

    /// Logs the failure as a warning about the request.
    fn log(&self, call: &Call, progress: &Progress) {
        let entry = RequestLog {
            request: call.id,
            branch: &call.rule.branch,
            kind: &call.rule.kind,
            attempt: self.attempt,
            endpoint: &self.endpoint,
        };
        let message = format!(
            "attempt failed after {} tokens: {}",
            progress.tokens, self.error
        );
        entry.write(Level::Warn, &message);
    }

    /// State of the attempt; a prefill yields no token, so it is no run of the request.
    fn state(&self) -> AttemptState {
        match self.role {
            Role::Prefill => AttemptState::NotRun,
            Role::Decode | Role::Service => AttemptState::after(&self.error),
        }
    }
}
