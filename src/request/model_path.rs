use {
    super::{
        CallerGone, Completion, CompletionPlaces, Failed, Held, Parts, Piece, Pools, Progress,
        Refused, Relay, RelayEnd, Shared, Sink, Want, denied, exhausted, late,
    },
    crate::{
        board::{Refusal, Role},
        decide::count_tokens,
        port::{DecodeAsk, Denial, Engine, EngineError, GrantEnd, KvHandle, PrefillAsk},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// One completion on its way: decode place, prefill, handover, decode, relay.
#[derive(Debug)]
pub struct ModelPath<'a, P>
where
    P: Parts,
{
    shared: &'a Shared<P>,
    ask: &'a Completion,
    places: CompletionPlaces<'a, P>,
    avoid: Vec<String>,
    progress: Progress,
}

/// Why an attempt ended without the whole answer.
#[derive(Debug)]
enum Ended {
    /// The caller has gone.
    Gone,
    /// No place was granted.
    Denied(Denial),
    /// A call to an endpoint failed.
    Failed(Failed),
}

impl From<CallerGone> for Ended {
    fn from(_: CallerGone) -> Self {
        Self::Gone
    }
}

impl From<Denial> for Ended {
    fn from(denial: Denial) -> Self {
        Self::Denied(denial)
    }
}

impl<'a, P> ModelPath<'a, P>
where
    P: Parts,
{
    /// Prepares a completion; `None` if its rule routes to a plain service.
    pub fn new(shared: &'a Shared<P>, ask: &'a Completion) -> Option<Self> {
        Some(Self {
            shared,
            ask,
            places: CompletionPlaces::new(shared, ask)?,
            avoid: Vec::new(),
            progress: Progress::default(),
        })
    }

    /// Runs the completion until the whole answer is relayed, the caller goes or it is refused.
    pub async fn run<K>(mut self, sink: &mut K) -> Result<Progress, Refused>
    where
        K: Sink,
    {
        let left = self.shared.left(self.ask.call.deadline);
        match timeout(left, self.attempts(sink)).await {
            Ok(Ok(())) => Ok(self.progress),
            Ok(Err(refused)) => Err(self.truncated(refused)),
            Err(_) => Err(self.truncated(late(self.progress.ran()))),
        }
    }

    async fn attempts<K>(&mut self, sink: &mut K) -> Result<(), Refused>
    where
        K: Sink,
    {
        if let Some(budget) = self.shared.budget(self.ask.call.branch) {
            budget.earn();
        }
        for number in 0..self.shared.options().attempts {
            match self.attempt(number, sink).await {
                Ok(()) | Err(Ended::Gone) => return Ok(()),
                Err(Ended::Denied(denial)) => return Err(denied(denial, self.progress.ran())),
                Err(Ended::Failed(failed)) => self.after(&failed).await?,
            }
        }
        Err(exhausted(self.progress.ran()))
    }

    async fn attempt<K>(&mut self, number: u16, sink: &mut K) -> Result<(), Ended>
    where
        K: Sink,
    {
        if self.left() == 0 {
            return self.conclude(sink).await;
        }
        let prompt = self.progress.continued(&self.ask.prompt);
        let want = Want {
            attempt: number,
            prompt: &prompt,
            tokens: self.left(),
            avoid: &self.avoid,
        };
        let (mut decode, pools) = self.places.decode(&want).await?;
        let import = if self.is_local(&decode, &prompt) {
            self.shared.counters().local.inc();
            None
        } else {
            Some(self.prefill(pools, &want).await?)
        };
        let handle = import.as_ref().map(|(_, handle)| handle.clone());
        let tokens = self.decode(&mut decode, prompt, handle).await?;
        let prefill = import.map(|(held, _)| held);
        self.relay(decode, prefill, tokens, sink).await
    }

    /// Tokens that are still to be generated.
    fn left(&self) -> u32 {
        self.ask.max_tokens.saturating_sub(self.progress.tokens)
    }

    /// Ends an answer of which every token was relayed but not the end.
    async fn conclude<K>(&mut self, sink: &mut K) -> Result<(), Ended>
    where
        K: Sink,
    {
        let piece = Piece {
            index: self.progress.tokens,
            count: 0,
            text: String::new(),
            finish: Some("length".to_owned()),
        };
        self.progress.record(&piece);
        Ok(sink.send(piece).await?)
    }

    /// Whether so little of the prompt is uncached that a handover would cost more.
    fn is_local(&self, decode: &Held<P>, prompt: &str) -> bool {
        let uncached = count_tokens(prompt).saturating_sub(decode.grant().cached);
        uncached <= self.shared.options().local_tokens
    }

    async fn prefill(
        &self,
        pools: Pools<'a>,
        want: &Want<'_>,
    ) -> Result<(Held<P>, KvHandle), Ended> {
        let mut held = self.places.prefill(pools, want).await?;
        let ask = PrefillAsk {
            attempt: held.grant().attempt,
            model: self.ask.call.rule.model.clone(),
            adapter: self.ask.call.rule.adapter.clone(),
            prompt: want.prompt.to_owned(),
            priority: self.ask.call.rule.priority,
        };
        held.mark_sent();
        let address = held.grant().address.clone();
        let start = self.shared.now();
        let prefill = self.shared.parts().engine().prefill(&address, &ask);
        match in_time(self.shared.options().prefill_time, prefill).await {
            Ok(handle) => {
                let tokens = handle.tokens.saturating_sub(handle.cached);
                held.computed(self.shared.now() - start, tokens);
                Ok((held, handle))
            }
            Err(error) => Err(Self::failed(held, error, Role::Prefill)),
        }
    }

    async fn decode(
        &mut self,
        held: &mut Held<P>,
        prompt: String,
        import: Option<KvHandle>,
    ) -> Result<<P::Engine as Engine>::Tokens, Ended> {
        let ask = DecodeAsk {
            attempt: held.grant().attempt,
            model: self.ask.call.rule.model.clone(),
            adapter: self.ask.call.rule.adapter.clone(),
            prompt,
            max_tokens: self.left(),
            priority: self.ask.call.rule.priority,
            import,
        };
        held.mark_sent();
        self.progress.sent += 1;
        let address = held.grant().address.clone();
        let decoded = self.shared.parts().engine().decode(&address, &ask);
        let decoded = in_time(self.shared.options().import_time, decoded).await;
        decoded.map_err(|error| {
            self.progress.sent -= u32::from(error.is_not_run());
            Ended::Failed(Failed::new(held.grant(), Role::Decode, error))
        })
    }

    async fn relay<K>(
        &mut self,
        held: Held<P>,
        prefill: Option<Held<P>>,
        tokens: <P::Engine as Engine>::Tokens,
        sink: &mut K,
    ) -> Result<(), Ended>
    where
        K: Sink,
    {
        let start = self.shared.now();
        let before = self.progress.tokens;
        let relayed = Relay::new(self.shared, held.grant(), &mut self.progress, prefill)
            .run(tokens, sink)
            .await;
        match relayed {
            Ok(()) => {
                let took = self.shared.now() - start;
                held.finish(GrantEnd::Finished {
                    took,
                    tokens: self.progress.tokens - before,
                });
                Ok(())
            }
            Err(RelayEnd::Gone) => Err(Ended::Gone),
            Err(RelayEnd::Failed(error)) => Err(Self::failed(held, error, Role::Decode)),
        }
    }

    fn failed(held: Held<P>, error: EngineError, role: Role) -> Ended {
        let failed = Failed::new(held.grant(), role, error);
        if matches!(failed.error, EngineError::Unsent(_)) {
            held.finish(GrantEnd::Unused);
        }
        Ended::Failed(failed)
    }

    /// Returns when the attempt after a failed one may start.
    async fn after(&mut self, failed: &Failed) -> Result<(), Refused> {
        self.avoid = vec![failed.endpoint.clone()];
        failed
            .settle(self.shared, &self.ask.call, &self.progress)
            .await
    }

    /// Turns a refusal after the first token into a truncation that the caller can see.
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

/// Waits for an endpoint's answer; without one in time the outcome is unknown.
async fn in_time<T, F>(limit: Duration, answer: F) -> Result<T, EngineError>
where
    F: Future<Output = Result<T, EngineError>>,
{
    let answer = timeout(limit, answer).await;
    answer.unwrap_or_else(|_| Err(EngineError::Broken(format!("no answer within {limit:?}"))))
}
