use {
    super::{
        AttemptNeed, CallerDisconnected, Completion, CompletionGrants, FailedCall, GrantHold,
        Parts, Pools, Progress, Ran, Refused, Relay, RelayEnd, Shared, Sink, TextChunk,
        attempts_exhausted, deadline_passed, no_grant,
        overdue_call::{CallError, OverdueCall},
    },
    crate::{
        board::{Refusal, Role},
        decide::count_tokens,
        port::{DecodeRequest, Denial, Engine, EngineError, GrantEnd, KvHandle, PrefillRequest},
    },
    tokio::time::timeout,
};

/// Runs one completion: decode grant, prefill, handover, decode, relay.
#[derive(Debug)]
pub struct ModelPath<'a, P>
where
    P: Parts,
{
    shared: &'a Shared<P>,
    completion: &'a Completion,
    grants: CompletionGrants<'a, P>,
    avoid: Vec<String>,
    progress: Progress,
}

/// Why an attempt ended before the response was complete.
#[derive(Debug)]
enum Abort {
    /// The caller disconnected.
    Disconnected,
    /// No endpoint was granted.
    Denied(Denial),
    /// A call to an endpoint failed.
    Failed(FailedCall),
}

impl From<CallerDisconnected> for Abort {
    fn from(_: CallerDisconnected) -> Self {
        Self::Disconnected
    }
}

impl From<Denial> for Abort {
    fn from(denial: Denial) -> Self {
        Self::Denied(denial)
    }
}

impl<'a, P> ModelPath<'a, P>
where
    P: Parts,
{
    /// Prepares to run `completion`; `None` if its rule routes to a plain service.
    pub fn new(shared: &'a Shared<P>, completion: &'a Completion) -> Option<Self> {
        Some(Self {
            shared,
            completion,
            grants: CompletionGrants::new(shared, completion)?,
            avoid: Vec::new(),
            progress: Progress::default(),
        })
    }

    /// Runs the completion until the complete response is relayed or the caller disconnects.
    ///
    /// # Errors
    ///
    /// Refuses the request at its deadline, without a grant, or after the last failed attempt; as
    /// `Truncated` once a token was relayed.
    pub async fn run<K>(mut self, sink: &mut K) -> Result<Progress, Refused>
    where
        K: Sink,
    {
        let left = self.shared.left(self.completion.call.deadline);
        match timeout(left, self.run_attempts(sink)).await {
            Ok(Ok(())) => Ok(self.progress),
            Ok(Err(refused)) => Err(self.truncated(refused)),
            Err(_) => Err(self.truncated(deadline_passed(self.progress.ran()))),
        }
    }

    async fn run_attempts<K>(&mut self, sink: &mut K) -> Result<(), Refused>
    where
        K: Sink,
    {
        if let Some(budget) = self.shared.budget(self.completion.call.branch) {
            budget.earn();
        }
        for number in 0..self.shared.options().max_attempts {
            match self.attempt(number, sink).await {
                Ok(()) | Err(Abort::Disconnected) => return Ok(()),
                Err(Abort::Denied(denial)) => return Err(no_grant(denial, self.progress.ran())),
                Err(Abort::Failed(failed)) => self.after_failure(failed).await?,
            }
        }
        Err(attempts_exhausted(self.progress.ran()))
    }

    async fn attempt<K>(&mut self, number: u16, sink: &mut K) -> Result<(), Abort>
    where
        K: Sink,
    {
        if self.tokens_left() == 0 {
            return self.send_end(sink).await;
        }
        let prompt = self.progress.prompt_after(&self.completion.prompt);
        let need = AttemptNeed {
            attempt: number,
            prompt: &prompt,
            tokens: self.tokens_left(),
            avoid: &self.avoid,
        };
        let (mut decode, pools) = self.grants.decode(&need).await?;
        let import = if self.is_local(&decode, &prompt) {
            self.shared.counters().local_prefills.inc();
            None
        } else {
            Some(self.prefill(pools, &need).await?)
        };
        let handle = import.as_ref().map(|(_, handle)| handle.clone());
        let overdue = OverdueCall {
            may_have_run: true,
            ..self.overdue(number)
        };
        let tokens = self.decode(&mut decode, prompt, handle, &overdue).await?;
        let prefill = import.map(|(hold, _)| hold);
        self.relay(decode, prefill, tokens, overdue, sink).await
    }

    /// How calls of attempt `number` are waited for, before it is sent to a decode endpoint.
    fn overdue(&self, number: u16) -> OverdueCall<'a, P> {
        OverdueCall {
            shared: self.shared,
            call: &self.completion.call,
            last: number + 1 >= self.shared.options().max_attempts,
            may_have_run: self.progress.ran() == Ran::Unknown,
        }
    }

    /// Number of tokens that are still to be generated.
    fn tokens_left(&self) -> u32 {
        self.completion
            .max_tokens
            .saturating_sub(self.progress.tokens)
    }

    /// Sends the final chunk, without tokens, of a response whose tokens were all relayed before.
    async fn send_end<K>(&mut self, sink: &mut K) -> Result<(), Abort>
    where
        K: Sink,
    {
        let chunk = TextChunk {
            index: self.progress.tokens,
            count: 0,
            text: String::new(),
            finish: Some("length".to_owned()),
        };
        self.progress.record(&chunk);
        Ok(sink.send(chunk).await?)
    }

    /// Whether so little of the prompt is uncached that a handover costs more than its prefill.
    fn is_local(&self, decode: &GrantHold<P>, prompt: &str) -> bool {
        let uncached = count_tokens(prompt).saturating_sub(decode.grant().cached);
        uncached <= self.shared.options().local_tokens
    }

    async fn prefill(
        &self,
        pools: Pools<'a>,
        need: &AttemptNeed<'_>,
    ) -> Result<(GrantHold<P>, KvHandle), Abort> {
        let mut hold = self.grants.prefill(pools, need).await?;
        let request = PrefillRequest {
            attempt: hold.grant().attempt,
            model: self.completion.call.rule.model.clone(),
            adapter: self.completion.call.rule.adapter.clone(),
            prompt: need.prompt.to_owned(),
            priority: self.completion.call.rule.priority,
        };
        hold.mark_sent();
        let address = hold.grant().address.clone();
        let start = self.shared.now();
        let prefill = self.shared.parts().engine().prefill(&address, &request);
        let overdue = self.overdue(need.attempt);
        let limit = self.shared.options().prefill_timeout;
        match overdue.wait(limit, prefill).await {
            Ok(handle) => {
                let tokens = handle.tokens.saturating_sub(handle.cached);
                hold.report_computed(self.shared.now() - start, tokens);
                Ok((hold, handle))
            }
            Err(error) => Err(Self::failed(hold, error, Role::Prefill)),
        }
    }

    async fn decode(
        &mut self,
        hold: &mut GrantHold<P>,
        prompt: String,
        import: Option<KvHandle>,
        overdue: &OverdueCall<'a, P>,
    ) -> Result<<P::Engine as Engine>::Tokens, Abort> {
        let request = DecodeRequest {
            attempt: hold.grant().attempt,
            model: self.completion.call.rule.model.clone(),
            adapter: self.completion.call.rule.adapter.clone(),
            prompt,
            max_tokens: self.tokens_left(),
            priority: self.completion.call.rule.priority,
            import,
        };
        hold.mark_sent();
        self.progress.sent += 1;
        let address = hold.grant().address.clone();
        let decoded = self.shared.parts().engine().decode(&address, &request);
        let limit = self.shared.options().import_timeout;
        let decoded = overdue.wait(limit, decoded).await;
        decoded.map_err(|error| {
            self.progress.sent -= u32::from(error.error.is_not_run());
            Abort::Failed(FailedCall::new(hold.grant(), Role::Decode, error))
        })
    }

    async fn relay<K>(
        &mut self,
        hold: GrantHold<P>,
        prefill: Option<GrantHold<P>>,
        tokens: <P::Engine as Engine>::Tokens,
        overdue: OverdueCall<'a, P>,
        sink: &mut K,
    ) -> Result<(), Abort>
    where
        K: Sink,
    {
        let start = self.shared.now();
        let before = self.progress.tokens;
        let relayed = Relay::new(overdue, hold.grant(), &mut self.progress, prefill)
            .run(tokens, sink)
            .await;
        match relayed {
            Ok(()) => {
                let took = self.shared.now() - start;
                hold.finish(GrantEnd::Finished {
                    took,
                    tokens: self.progress.tokens - before,
                });
                Ok(())
            }
            Err(RelayEnd::Disconnected) => Err(Abort::Disconnected),
            Err(RelayEnd::Failed(error)) => Err(Self::failed(hold, error, Role::Decode)),
        }
    }

    fn failed(hold: GrantHold<P>, error: CallError, role: Role) -> Abort {
        let failed = FailedCall::new(hold.grant(), role, error);
        if matches!(failed.error, EngineError::Unsent(_)) {
            hold.finish(GrantEnd::Unused);
        }
        Abort::Failed(failed)
    }

    /// Waits until an attempt at another endpoint than `failed` may start, or refuses the request.
    async fn after_failure(&mut self, failed: FailedCall) -> Result<(), Refused> {
        self.avoid = vec![failed.endpoint.clone()];
        failed
            .wait_to_retry(self.shared, &self.completion.call, &self.progress)
            .await
    }

    /// Turns a refusal after the first token into `Truncated`: the caller has part of the response.
    fn truncated(&self, refused: Refused) -> Refused {
        if self.progress.tokens == 0 {
            return refused;
        }
        Refused {
            reason: Refusal::Truncated,
            ..refused
        }
    }
}
