use {
    super::{Call, Parts, Progress, Refused, Shared},
    crate::{
        board::Role,
        decide::{AttemptState, Chance, Failure, Verdict, after_failure},
        port::{Engine, EngineError, Grant, RequestLog},
    },
    log::Level,
};

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
    pub async fn suspect<P>(&self, shared: &Shared<P>, call: &Call)
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
    pub fn verdict<P>(&self, shared: &Shared<P>, call: &Call, tainted: bool) -> Verdict
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

    /// Turns the verdict into a refusal, or nothing if another attempt may be made.
    pub fn settle(&self, verdict: Verdict) -> Result<(), Refused> {
        let detail = self.error.to_string();
        match verdict {
            Verdict::Retry => Ok(()),
            Verdict::NotRun(reason) => Err(Refused::not_run(reason, &detail)),
            Verdict::Unknown(reason) => Err(Refused::unknown(reason, &detail)),
        }
    }

    /// Logs the failure.
    pub fn log(&self, call: &Call, progress: &Progress) {
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
