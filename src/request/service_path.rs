use {
    super::{
        Call, FailedCall, GrantHold, Parts, Progress, Refused, Shared, acquire, attempts_exhausted,
        deadline_passed, no_grant,
    },
    crate::{
        board::Role,
        key::AttemptId,
        port::{GrantEnd, GrantRequest, Service, ServiceCall, ServiceResponse},
    },
    tokio::time::timeout,
};

/// Runs one call to a plain service: grant, call, retries.
#[derive(Debug)]
pub struct ServicePath<'a, P> {
    shared: &'a Shared<P>,
    call: &'a Call,
    pool: &'a str,
    message: &'a ServiceCall,
    avoid: Vec<String>,
    progress: Progress,
}

impl<'a, P> ServicePath<'a, P>
where
    P: Parts,
{
    /// Prepares to send `message` to a service of `pool`.
    pub fn new(
        shared: &'a Shared<P>,
        call: &'a Call,
        pool: &'a str,
        message: &'a ServiceCall,
    ) -> Self {
        Self {
            shared,
            call,
            pool,
            message,
            avoid: Vec::new(),
            progress: Progress::default(),
        }
    }

    /// Runs the call until a service responds.
    ///
    /// # Errors
    ///
    /// Refuses the request at its deadline, without a grant, or after the last failed attempt.
    pub async fn run(mut self) -> Result<ServiceResponse, Refused> {
        let left = self.shared.left(self.call.deadline);
        match timeout(left, self.run_attempts()).await {
            Ok(result) => result,
            Err(_) => Err(deadline_passed(self.progress.ran())),
        }
    }

    async fn run_attempts(&mut self) -> Result<ServiceResponse, Refused> {
        if let Some(budget) = self.shared.budget(self.call.branch) {
            budget.earn();
        }
        for number in 0..self.shared.options().max_attempts {
            let granted =
                acquire(self.shared, &self.grant_request(number), self.call.deadline).await;
            let hold = granted.map_err(|denial| no_grant(denial, self.progress.ran()))?;
            match self.attempt(hold).await {
                Ok(response) => return Ok(response),
                Err(failed) => self.after_failure(failed).await?,
            }
        }
        Err(attempts_exhausted(self.progress.ran()))
    }

    async fn attempt(&mut self, hold: GrantHold<P>) -> Result<ServiceResponse, FailedCall> {
        let start = self.shared.now();
        let address = hold.grant().address.clone();
        self.progress.sent += 1;
        let result = self
            .shared
            .parts()
            .service()
            .call(&address, self.message)
            .await;
        match result {
            Ok(response) => {
                hold.finish(GrantEnd::Finished {
                    took: self.shared.now() - start,
                    tokens: 0,
                });
                Ok(response)
            }
            Err(error) => {
                let failed = FailedCall::new(hold.grant(), Role::Service, error);
                hold.finish(GrantEnd::Unused);
                self.progress.sent -= u32::from(failed.error.is_not_run());
                Err(failed)
            }
        }
    }

    fn grant_request(&self, number: u16) -> GrantRequest {
        let rule = &self.call.rule;
        let waited = self.shared.now() - self.call.arrived;
        GrantRequest {
            attempt: AttemptId {
                request: self.call.id,
                number,
            },
            role: Role::Service,
            pool: self.pool.to_owned(),
            model: String::new(),
            version: String::new(),
            adapter: None,
            branch: rule.branch.clone(),
            priority: rule.priority,
            pieces: 1,
            prompt_tokens: 0,
            output_tokens: 0,
            prefixes: Vec::new(),
            first_token: rule.target.first_token.saturating_sub(waited),
            per_token: rule.target.per_token,
            remaining: self.shared.left(self.call.deadline),
            avoid: self.avoid.clone(),
            suspect: self.shared.is_suspect(self.call.fingerprint),
        }
    }

    /// Waits until an attempt at another endpoint than `failed` may start, or refuses the request.
    async fn after_failure(&mut self, failed: FailedCall) -> Result<(), Refused> {
        self.avoid = vec![failed.endpoint.clone()];
        failed
            .wait_to_retry(self.shared, self.call, &self.progress)
            .await
    }
}
