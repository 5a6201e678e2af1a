use {
    super::{
        CacheHold, EndpointHold, ForwardCall, ForwardLog, ForwardParts, ForwardShared, PlaceHold,
        Refused,
        forward_answer::ForwardAnswer,
        forward_log::Next,
        forward_refusal,
        place_search::{PlaceSearch, Places},
        stream_run::{BodyOf, Run, Started},
    },
    crate::{
        board::{Refusal, RetryReason},
        decide::Verdict,
        port::{
            AnswerBody, AnswerEvent, CacheHandle, PlaceHandle, Upstream, UpstreamAnswer,
            UpstreamAsk, UpstreamError,
        },
    },
    bytes::Bytes,
    http::HeaderMap,
    std::time::Duration,
    tokio::time::timeout,
};

/// First status code that is no success.
const NO_SUCCESS: u16 = 300;

/// Times that a prompt is read apart before it is read where it decodes.
const READ_TRIES: u32 = 1;

/// A stream of events on its way to the caller, which moves to another endpoint when it breaks.
///
/// Dropping it closes the connection to the endpoint, which ends the run there.
#[derive(Debug)]
pub struct EventRelay<P>
where
    P: ForwardParts,
{
    shared: ForwardShared<P>,
    call: ForwardCall,
    run: Option<Run<P>>,
    last: Option<u64>,
    events: u64,
    event_tokens: u64,
    open: bool,
}

/// How a stream began.
#[derive(Debug)]
pub enum Opened<P>
where
    P: ForwardParts,
{
    /// Events follow.
    Events(HeaderMap, Box<EventRelay<P>>),
    /// The endpoint answered with a failure.
    Failure(ForwardAnswer),
    /// The request was refused.
    Refused(Refused),
}

impl<P> EventRelay<P>
where
    P: ForwardParts,
{
    /// Starts the stream of `call`.
    pub async fn open(shared: &ForwardShared<P>, call: ForwardCall) -> Opened<P> {
        let last = call.request.resume;
        let routing = shared.board().routing.load();
        let plan = routing.pools.get(&call.pool);
        let event_tokens = plan.map_or(1, |plan| u64::from(plan.event_tokens));
        let mut relay = Self {
            shared: shared.clone(),
            call,
            run: None,
            last,
            events: 0,
            event_tokens,
            open: true,
        };
        match relay.start().await {
            Ok(answer) if answer.status < NO_SUCCESS => {
                let (headers, run) = answer.into_run();
                relay.run = Some(run);
                Opened::Events(headers, Box::new(relay))
            }
            Ok(answer) => relay.failure(answer).await,
            Err(refused) => {
                relay.conclude(&refused);
                Opened::Refused(refused)
            }
        }
    }

    /// Next event, as the endpoint sent it; nothing after the regular end.
    pub async fn next(&mut self) -> Option<Result<Bytes, Refused>> {
        loop {
            let limit = self.limit();
            let run = self.run.as_mut()?;
            let next = timeout(limit, run.body.next()).await;
            let error = match next.unwrap_or(Err(UpstreamError::Silent)) {
                Ok(Some(event)) => match self.accept(&event) {
                    Ok(true) => return Some(Ok(event.bytes)),
                    Ok(false) => continue,
                    Err(error) => error,
                },
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(error) => error,
            };
            if let Err(refused) = self.move_on(&error).await {
                self.conclude(&refused);
                return Some(Err(refused));
            }
        }
    }

    /// Longest time to wait for the next event.
    fn limit(&self) -> Duration {
        let left = self.shared.left(self.call.deadline);
        let options = self.shared.options();
        if !self.call.may_repeat_after(1) {
            return left;
        }
        let fresh = self.run.as_ref().is_none_or(|run| run.fresh);
        left.min(if fresh {
            options.first_event
        } else {
            options.stall
        })
    }

    /// Whether `event` is to be passed on; an error if events are missing before it.
    fn accept(&mut self, event: &AnswerEvent) -> Result<bool, UpstreamError> {
        let now = self.shared.now();
        if let Some(run) = &mut self.run
            && run.fresh
        {
            run.fresh = false;
            if self.events == 0 {
                let took = (now - self.call.arrived).as_secs_f64();
                self.shared.counters().first_time.observe(took);
            }
        }
        if let (Some(last), Some(id)) = (self.last, event.id) {
            if id <= last {
                return Ok(false);
            }
            if id > last + 1 {
                let why = format!("event {id} follows {last}");
                return Err(UpstreamError::Broken(why));
            }
        }
        if let Some(placement) = self.run.as_mut().and_then(|run| run.placement.as_mut()) {
            placement.generated(self.event_tokens);
        }
        self.last = event.id.or(self.last);
        self.events += 1;
        self.shared.counters().tokens.inc();
        Ok(true)
    }

    fn finish(&mut self) {
        self.open = false;
        if let Some(run) = self.run.take() {
            run.hold.ended(false);
            let log = ForwardLog::new(&self.shared, &self.call);
            log.answered(&run.hold.name, 200, self.events);
        }
    }

    /// Ends the broken run and starts another one after the last event that was passed on.
    async fn move_on(&mut self, error: &UpstreamError) -> Result<(), Refused> {
        let Some(run) = self.run.take() else {
            return Err(Refused::unknown(Refusal::Truncated, "no run is left"));
        };
        let hold = run.hold;
        // Closing the connection stops the run before another one goes on.
        drop(run.body);
        let mut placement = run.placement;
        if let (Some(placement), true) = (&mut placement, run.fresh && self.events == 0) {
            placement.crashed(self.call.print);
        }
        drop(placement);
        self.after(&hold, error)?;
        drop(hold);
        let answer = self.start().await?;
        if answer.status >= NO_SUCCESS {
            answer.hold.ended(true);
            let detail = format!("status {} where the stream was to go on", answer.status);
            return Err(Refused::unknown(Refusal::Truncated, &detail));
        }
        self.run = Some(answer.into_run().1);
        Ok(())
    }

    /// Decides what follows a failed attempt.
    fn after(&mut self, hold: &EndpointHold, error: &UpstreamError) -> Result<(), Refused> {
        hold.failed(&self.shared, error);
        let late = self.shared.left(self.call.deadline).is_zero();
        let budget = self.shared.budget(&self.call.pool);
        let verdict = self.call.after(error, late, &budget);
        let next = match verdict {
            Verdict::Retry if self.events > 0 => Next::Retry(RetryReason::Moved),
            verdict => Next::after(verdict, error),
        };
        ForwardLog::new(&self.shared, &self.call).failed(hold, error, next);
        if verdict == Verdict::Retry {
            return Ok(());
        }
        Err(forward_refusal::after(&self.shared, verdict, error))
    }

    /// Finds an endpoint that decodes, has the prompt computed, and sends the request.
    async fn start(&mut self) -> Result<Started<P>, Refused> {
        let mut cache: Option<CacheHold<P>> = None;
        // Only the first reading apart is no load beyond the request itself.
        let mut tries = u32::from(self.call.ran > 0);
        loop {
            if self.shared.left(self.call.deadline).is_zero() {
                return Err(forward_refusal::too_late(&self.call));
            }
            cache = cache.filter(|cache| cache.age() < self.shared.options().cache_time);
            let apart = tries < READ_TRIES || (tries == READ_TRIES && self.spend());
            let read = cache.is_some() || !apart;
            let asked = self.shared.now();
            let Places {
                decode: hold,
                place,
                mut placement,
                prefill,
            } = PlaceSearch::new(&self.shared, &mut self.call)
                .find(read)
                .await?;
            let waited = (self.shared.now() - asked).as_secs_f64();
            self.shared.counters().place_time.observe(waited);
            if let Some(prefill) = prefill {
                tries += 1;
                let start = self.shared.now();
                cache = self.prefill(prefill).await?;
                if let (Some(placement), Some(_)) = (&mut placement, &cache) {
                    placement.read(self.shared.now() - start);
                }
            }
            self.call.tried.push(hold.key);
            let handle = cache.as_ref().and_then(CacheHold::handle);
            let reserved = place.as_ref().and_then(PlaceHold::handle);
            match self.send(&hold, handle, reserved).await {
                Ok(answer) => {
                    if let Some(place) = place {
                        place.taken();
                    }
                    if let Some(cache) = cache {
                        cache.taken();
                    }
                    hold.hear(answer.load, self.shared.now());
                    hold.accepted();
                    return Ok(Started {
                        status: answer.status,
                        headers: answer.headers,
                        body: answer.body,
                        hold,
                        placement,
                    });
                }
                Err(error) => {
                    let crashed = matches!(error, UpstreamError::Broken(_));
                    if let (Some(placement), true) = (&mut placement, crashed && self.events == 0) {
                        placement.crashed(self.call.print);
                    }
                    // The record must be made before the next ask.
                    drop(placement);
                    self.after(&hold, &error)?;
                    // Only a cache that was certainly not taken is offered again.
                    cache = cache.filter(|_| error.is_not_run());
                }
            }
        }
    }

    /// Takes a retry from the pool's budget.
    fn spend(&self) -> bool {
        self.shared.budget(&self.call.pool).spend()
    }

    /// Has the prompt computed at `hold`; nothing if that failed and it may be read elsewhere.
    async fn prefill(&self, hold: EndpointHold) -> Result<Option<CacheHold<P>>, Refused> {
        ForwardLog::new(&self.shared, &self.call).chosen(&hold, "prefill");
        let start = self.shared.now();
        let ask = UpstreamAsk {
            resume: self.last,
            ..self.call.ask(&self.shared, &hold)
        };
        let prefill = self.shared.parts().upstream().prefill(ask);
        let computed = timeout(self.shared.options().prefill, prefill).await;
        let error = match computed.unwrap_or(Err(UpstreamError::Silent)) {
            Ok(handle) => {
                hold.answered(self.shared.now() - start);
                hold.accepted();
                hold.ended(false);
                return Ok(Some(CacheHold::new(&self.shared, handle)));
            }
            Err(error) => error,
        };
        hold.failed(&self.shared, &error);
        let log = ForwardLog::new(&self.shared, &self.call);
        // What follows is a further arrival at the pool, unless this one never left.
        let free = matches!(error, UpstreamError::Unsent(_));
        if !free && !self.spend() {
            log.failed(&hold, &error, Next::Refuse(Refusal::RetryBudget));
            return Err(forward_refusal::spent(&self.shared, &self.call));
        }
        log.failed(&hold, &error, Next::Retry(RetryReason::PrefillBroken));
        Ok(None)
    }

    async fn send(
        &self,
        hold: &EndpointHold,
        cache: Option<CacheHandle>,
        place: Option<PlaceHandle>,
    ) -> Result<UpstreamAnswer<BodyOf<P>>, UpstreamError> {
        let ask = UpstreamAsk {
            cache,
            place,
            resume: self.last,
            ..self.call.ask(&self.shared, hold)
        };
        let send = self.shared.parts().upstream().send(ask);
        let answer = timeout(self.limit(), send).await;
        answer.unwrap_or(Err(UpstreamError::Silent))
    }

    /// Passes on a failure that the endpoint answered.
    async fn failure(mut self, answer: Started<P>) -> Opened<P> {
        answer.hold.ended(true);
        let status = answer.status;
        let left = self.shared.left(self.call.deadline);
        let body = timeout(left, answer.body.whole()).await;
        match body.unwrap_or(Err(UpstreamError::Silent)) {
            Ok(body) => {
                self.open = false;
                let log = ForwardLog::new(&self.shared, &self.call);
                log.answered(&answer.hold.name, status, 0);
                Opened::Failure(ForwardAnswer {
                    status,
                    headers: answer.headers,
                    body,
                })
            }
            Err(error) => {
                let refused = Refused::unknown(Refusal::OutcomeUnknown, &error.to_string());
                self.conclude(&refused);
                Opened::Refused(refused)
            }
        }
    }

    fn conclude(&mut self, refused: &Refused) {
        self.open = false;
        self.run = None;
        let reason = if self.events > 0 {
            Refusal::Truncated
        } else {
            refused.reason
        };
        let log = ForwardLog::new(&self.shared, &self.call);
        log.refused(reason, self.events, &refused.detail);
    }
}

impl<P> Drop for EventRelay<P>
where
    P: ForwardParts,
{
    fn drop(&mut self) {
        if self.open {
            ForwardLog::new(&self.shared, &self.call).abandoned(self.events);
        }
    }
}
