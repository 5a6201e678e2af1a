use {
    super::{Call, Parts, Progress, Ran, Refused, Shared},
    crate::{
        board::{RetryReason, Role},
        decide::{AttemptState, Chance, Failure, Verdict, after_failure},
        port::{Clock, Engine, EngineError, Grant, RequestLog},
    },
    log::Level,
    std::time::Duration,
};

/// Wait before the attempt that follows a failed one.
const FAILED_WAIT: Duration = Duration::from_millis(25);

/// A call to an endpoint that failed.
#[derive(Clone, Debug)]
pub struct Failed {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Address of the endpoint.
    pub address: String,
    /// Number of the attempt.
    pub attempt: u16,
    /// What the endpoint was asked to do.
    pub role: Role,
    /// How the call failed.
    pub error: EngineError,
}

impl Failed {
    /// Describes the failure of a call under `grant`.
    pub fn new(grant: &Grant, role: Role, error: EngineError) -> Self {
        let endpoint = grant.endpoint.clone();
        let address = grant.address.clone();
        let attempt = grant.attempt.number;
        Self {
            endpoint,
            address,
            attempt,
            role,
            error,
        }
    }

    /// Tells the suspect controller if the endpoint crashed while it ran the request.
    async fn suspect<P>(&self, shared: &Shared<P>, call: &Call)
    where
        P: Parts,
    {
        if matches!(self.error, EngineError::Broken(_)) && self.has_crashed(shared, call).await {
            shared
                .parts()
                .suspicions()
                .strike(call.print, &self.endpoint)
                .await;
        }
    }

    /// Whether the endpoint is gone or has started since the request arrived.
    ///
    /// A plain service has no description; there a broken answer counts as a crash.
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

    /// Decides what follows; spends the branch's retry budget if another attempt is made.
    ///
    /// `tainted` tells whether an earlier attempt may have run.
    fn verdict<P>(&self, shared: &Shared<P>, call: &Call, tainted: bool) -> Verdict
    where
        P: Parts,
    {
        let chance = if shared.is_refused(call.print) {
            Chance::Suspect
        } else if shared.left(call.deadline).is_zero() {
            Chance::Late
        } else {
            Chance::Open
        };
        let failure = Failure {
            state: self.state(),
            tainted,
            repeat: call.rule.repeat,
            chance,
        };
        let verdict = after_failure(failure);
        let spent = || {
            shared
                .budget(call.branch)
                .is_some_and(|budget| !budget.spend())
        };
        if verdict == Verdict::Retry && spent() {
            return after_failure(Failure {
                chance: Chance::Spent,
                ..failure
            });
        }
        verdict
    }

    /// Returns when the next attempt may start, or the refusal if there is none.
    pub async fn settle<P>(
        &self,
        shared: &Shared<P>,
        call: &Call,
        progress: &Progress,
    ) -> Result<(), Refused>
    where
        P: Parts,
    {
        // A crash must be known before another attempt is decided on.
        self.suspect(shared, call).await;
        let verdict = self.verdict(shared, call, progress.ran() == Ran::Unknown);
        self.log(call, progress);
        let detail = self.error.to_string();
        match verdict {
            Verdict::Retry => {}
            Verdict::NotRun(reason) => return Err(Refused::not_run(reason, &detail)),
            Verdict::Unknown(reason) => return Err(Refused::unknown(reason, &detail)),
        }
        shared.counters().retry(self.retry_reason());
        shared.parts().clock().sleep(FAILED_WAIT).await;
        Ok(())
    }

    fn retry_reason(&self) -> RetryReason {
        match (&self.error, self.role) {
            (EngineError::Unsent(_), _) => RetryReason::Unsent,
            (EngineError::Refused(_), _) => RetryReason::Refused,
            (_, Role::Service) => RetryReason::CallBroken,
            (EngineError::CacheGone, _) => RetryReason::CacheGone,
            (_, Role::Prefill) => RetryReason::PrefillBroken,
            (_, Role::Decode) => RetryReason::Moved,
        }
    }

    /// Logs the failure.
    fn log(&self, call: &Call, progress: &Progress) {
        let line = RequestLog {
            request: call.id,
            branch: &call.rule.branch,
            kind: &call.rule.kind,
            attempt: self.attempt,
            endpoint: &self.endpoint,
        };
        let message = format!("failed after {} tokens: {}", progress.tokens, self.error);
        line.write(Level::Warn, &message);
    }

    /// State of the attempt. A prefill answers nothing, so the request never ran by it.
    fn state(&self) -> AttemptState {
        match self.role {
            Role::Prefill => AttemptState::NotRun,
            Role::Decode | Role::Service => AttemptState::after(&self.error),
        }
    }
}
