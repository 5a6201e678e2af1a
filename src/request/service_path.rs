use {
    super::{
        Call, Failed, Held, Parts, Progress, Refused, Shared, acquire, denied, exhausted, late,
    },
    crate::{
        board::Role,
        key::AttemptId,
        port::{GrantAsk, GrantEnd, Service, ServiceCall, ServiceReply},
    },
    tokio::time::timeout,
};

/// One call to a plain service on its way.
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
    /// Prepares a call to the services of `pool`.
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

    /// Runs the call until a service answers or it is refused.
    pub async fn run(mut self) -> Result<ServiceReply, Refused> {
        let left = self.shared.left(self.call.deadline);
        match timeout(left, self.attempts()).await {
            Ok(result) => result,
            Err(_) => Err(late(self.progress.ran())),
        }
    }

    async fn attempts(&mut self) -> Result<ServiceReply, Refused> {
        if let Some(budget) = self.shared.budget(self.call.branch) {
            budget.earn();
        }
        for number in 0..self.shared.options().attempts {
            let place = acquire(self.shared, &self.grant_ask(number), self.call.deadline).await;
            let held = place.map_err(|denial| denied(denial, self.progress.ran()))?;
            match self.attempt(held).await {
                Ok(reply) => return Ok(reply),
                Err(failed) => self.after(&failed).await?,
            }
        }
        Err(exhausted(self.progress.ran()))
    }

    async fn attempt(&mut self, held: Held<P>) -> Result<ServiceReply, Failed> {
        let start = self.shared.now();
        let address = held.grant().address.clone();
        self.progress.sent += 1;
        let result = self
            .shared
            .parts()
            .service()
            .call(&address, self.message)
            .await;
        match result {
            Ok(reply) => {
                held.finish(GrantEnd::Finished {
                    took: self.shared.now() - start,
                    tokens: 0,
                });
                Ok(reply)
            }
            Err(error) => {
                let failed = Failed::new(held.grant(), Role::Service, error);
                held.finish(GrantEnd::Unused);
                self.progress.sent -= u32::from(failed.error.is_not_run());
                Err(failed)
            }
        }
    }

    fn grant_ask(&self, number: u16) -> GrantAsk {
        let rule = &self.call.rule;
        let waited = self.shared.now() - self.call.arrived;
        GrantAsk {
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
            suspect: self.shared.is_suspect(self.call.print),
        }
    }

    /// Returns when the attempt after a failed one may start.
    async fn after(&mut self, failed: &Failed) -> Result<(), Refused> {
        self.avoid = vec![failed.endpoint.clone()];
        failed.settle(self.shared, self.call, &self.progress).await
    }
}
