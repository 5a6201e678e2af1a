use {
    super::{
        CacheHold, EndpointHold, ForwardCall, ForwardLog, ForwardParts, ForwardShared, Refused,
        ReservationHold,
        forward_buffered::collect_failure,
        forward_log::NextStep,
        forward_refusal,
        forward_response::ForwardResponse,
        opened_stream::OpenedStream,
        overdue_wait::{Awaited, OverdueWait},
        placement_search::{PlacementSearch, StreamPlacement},
        replacement_search::{Replacement, ReplacementSearch},
        retry_permit::RetryPermit,
        stream_run::{BodyOf, RunningAttempt, StartedAttempt},
    },
    crate::{
        board::{Refusal, RetryReason, Tick},
        decide::Verdict,
        port::{
            CacheHandle, Noticed, Reservation, ResponseBody, ResponseEvent, Upstream,
            UpstreamError, UpstreamRequest, UpstreamResponse,
        },
    },
    bytes::Bytes,
    std::{pin::pin, time::Duration},
    tokio::{select, time::timeout},
};

/// Status code of a stream that began.
const SUCCESS: u16 = 200;

/// First status code that is not a success.
const FIRST_NON_SUCCESS: u16 = 300;

/// Remote prefills that need no retry budget; one more spends a retry, and after it prefill is local.
const FREE_PREFILLS: u32 = 1;

/// Stream of events to the caller, resumed at another endpoint when an attempt breaks.
///
/// Dropping it closes the connection to the endpoint, which ends the attempt there.
#[derive(Debug)]
pub struct EventRelay<P>
where
    P: ForwardParts,
{
    shared: ForwardShared<P>,
    call: ForwardCall,
    run: Option<RunningAttempt<P>>,
    last_id: Option<u64>,
    events: u64,
    event_tokens: u64,
    /// When the attempt was sent, accepted, or last sent more than a comment.
    progress: Tick,
    /// Search for a replacement of the attempt, while it is overdue.
    search: Option<ReplacementSearch<P>>,
    open: bool,
}

impl<P> EventRelay<P>
where
    P: ForwardParts,
{
    /// Starts the stream of `call` and waits for the head of its response.
    pub async fn open(shared: &ForwardShared<P>, call: ForwardCall) -> OpenedStream<P> {
        let last_id = call.request.resume_after;
        let routing = shared.board().routing.load();
        let plan = routing.pools.get(&call.pool);
        let event_tokens = plan.map_or(1, |plan| u64::from(plan.event_tokens));
        let mut relay = Self {
            shared: shared.clone(),
            call,
            run: None,
            last_id,
            events: 0,
            event_tokens,
            progress: shared.now(),
            search: None,
            open: true,
        };
        loop {
            let opened = match relay.start(None).await {
                Ok(response) if response.status < FIRST_NON_SUCCESS => {
                    let (headers, run) = response.into_run();
                    relay.run = Some(run);
                    return OpenedStream::Events(headers, Box::new(relay));
                }
                Ok(response) => relay.buffer_failure(response).await,
                Err(refused) => Err(refused),
            };
            match opened {
                Ok(Some(failure)) => return OpenedStream::Failure(failure),
                Ok(None) => {}
                Err(refused) => {
                    relay.close_refused(&refused);
                    return OpenedStream::Refused(refused);
                }
            }
        }
    }

    /// Waits for the next event, as the endpoint sent it; `None` after the end, regular or refused.
    pub async fn next(&mut self) -> Option<Result<Bytes, Refused>> {
        loop {
            let limit = self.overdue_after();
            let run = self.run.as_mut()?;
            let wait = OverdueWait {
                shared: &self.shared,
                call: &self.call,
                hold: &run.hold,
                search: &mut self.search,
                limit,
            };
            let error = match wait.wait(run.body.next()).await {
                Awaited::Response(Ok(Some(event))) => match self.accept(&event) {
                    Ok(true) => return Some(Ok(event.bytes)),
                    Ok(false) => continue,
                    Err(error) => error,
                },
                Awaited::Response(Ok(None)) if run.awaits_first => {
                    UpstreamError::Broken("the response ended without an event".to_owned())
                }
                Awaited::Response(Ok(None)) => {
                    self.finish();
                    return None;
                }
                Awaited::Response(Err(error)) => error,
                Awaited::Replacement(replacement) => {
                    if let Err(refused) = self.replace(*replacement).await {
                        self.close_refused(&refused);
                        return Some(Err(refused));
                    }
                    continue;
                }
            };
            if let Err(refused) = self.fail_over(&error).await {
                self.close_refused(&refused);
                return Some(Err(refused));
            }
        }
    }

    /// Returns the time until the attempt is overdue if no event arrives. Comments do not prolong it.
    fn overdue_after(&self) -> Duration {
        let options = self.shared.options();
        let awaits_first = self.run.as_ref().is_none_or(|run| run.awaits_first);
        let limit = if awaits_first {
            options.first_event
        } else {
            options.stall_timeout
        };
        limit.saturating_sub(self.shared.now() - self.progress)
    }

    /// Records `event`; returns whether it goes to the caller, `false` if the caller already has it.
    ///
    /// # Errors
    ///
    /// Fails as broken if events are missing before it, or if it is not one of a resumed stream.
    fn accept(&mut self, event: &ResponseEvent) -> Result<bool, UpstreamError> {
        let awaits_first = self.run.as_ref().is_some_and(|run| run.awaits_first);
        let resumed = awaits_first && self.last_id.is_some();
        if event.id.is_none() {
            if event.is_comment() {
                return Ok(!resumed);
            }
            if resumed {
                let detail = "the response does not go on with a numbered event".to_owned();
                return Err(UpstreamError::Broken(detail));
            }
        }
        let now = self.shared.now();
        self.progress = now;
        self.search = None;
        if let Some(run) = &mut self.run
            && run.awaits_first
        {
            run.awaits_first = false;
            if self.events == 0 {
                let took = (now - self.call.arrived).as_secs_f64();
                self.shared.counters().first_event_time.observe(took);
            }
        }
        if let (Some(last), Some(id)) = (self.last_id, event.id) {
            if id <= last {
                return Ok(false);
            }
            if id > last + 1 {
                let detail = format!("event {id} follows event {last}: events are missing");
                return Err(UpstreamError::Broken(detail));
            }
        }
        if let Some(run) = &mut self.run {
            run.placement.generated(self.event_tokens);
        }
        self.call.times.record_event(self.call.arrived, now);
        self.last_id = event.id.or(self.last_id);
        self.events += 1;
        self.shared.counters().tokens.inc();
        Ok(true)
    }

    /// Records and logs the regular end of the stream.
    fn finish(&mut self) {
        self.open = false;
        if let Some(mut run) = self.run.take() {
            run.placement.answered(self.events);
            run.hold.record_end(false);
            let log = ForwardLog::new(&self.shared, &self.call);
            log.stream_answered(&run.hold.name, SUCCESS, self.events);
        }
    }

    /// Ends the broken attempt and starts another one after the last event sent to the caller.
    async fn fail_over(&mut self, error: &UpstreamError) -> Result<(), Refused> {
        let hold = self.end_run(error)?;
        self.after_failure(&hold, error)?;
        drop(hold);
        self.start_again(None).await
    }

    /// Ends the overdue attempt and starts another one, where `replacement` has room for it.
    async fn replace(&mut self, replacement: Replacement<P>) -> Result<(), Refused> {
        let error = UpstreamError::TimedOut;
        let hold = self.end_run(&error)?;
        let placement = self.record_replaced(&hold, replacement);
        drop(hold);
        self.start_again(Some(placement)).await
    }

    /// Closes the connection of the running attempt, and returns its endpoint.
    fn end_run(&mut self, error: &UpstreamError) -> Result<EndpointHold, Refused> {
        let Some(run) = self.run.take() else {
            return Err(Refused::unknown(
                Refusal::Truncated,
                "the stream has no running attempt to resume",
            ));
        };
        self.search = None;
        // Closes the connection first: the old attempt ends before another one continues.
        drop(run.body);
        let mut placement = run.placement;
        placement.failed(error);
        Ok(run.hold)
    }

    /// Starts an attempt that goes on after the last event sent to the caller, at `placed` if present.
    async fn start_again(&mut self, placed: Option<StreamPlacement<P>>) -> Result<(), Refused> {
        let response = self.start(placed).await?;
        if response.status >= FIRST_NON_SUCCESS {
            response.hold.record_end(true);
            let detail = format!(
                "the endpoint that was to resume the stream responded with status {}",
                response.status
            );
            return Err(Refused::unknown(Refusal::Truncated, &detail));
        }
        self.run = Some(response.into_run().1);
        Ok(())
    }

    /// Records that the overdue attempt at `hold` was ended for `replacement`; returns where that runs.
    fn record_replaced(
        &mut self,
        hold: &EndpointHold,
        replacement: Replacement<P>,
    ) -> StreamPlacement<P> {
        let error = UpstreamError::TimedOut;
        hold.record_failure(&self.shared, &error);
        self.call.ran += 1;
        replacement.permit.spend();
        let reason = if self.events > 0 {
            RetryReason::Moved
        } else {
            RetryReason::CallBroken
        };
        ForwardLog::new(&self.shared, &self.call).attempt_failed(
            hold,
            &error,
            NextStep::Retry(reason),
        );
        replacement.placement
    }

    /// Records a failed attempt; returns the refusal unless another attempt is to follow.
    fn after_failure(&mut self, hold: &EndpointHold, error: &UpstreamError) -> Result<(), Refused> {
        hold.record_failure(&self.shared, error);
        let past_deadline = self.shared.left(self.call.deadline).is_zero();
        let budget = self.shared.budget(&self.call.pool);
        let verdict = self.call.after_failure(error, past_deadline, &budget);
        let next = match verdict {
            Verdict::Retry if self.events > 0 => NextStep::Retry(RetryReason::Moved),
            verdict => NextStep::from_verdict(verdict, error),
        };
        ForwardLog::new(&self.shared, &self.call).attempt_failed(hold, error, next);
        if verdict == Verdict::Retry {
            return Ok(());
        }
        Err(forward_refusal::from_verdict(&self.shared, verdict, error))
    }

    /// Finds the endpoints unless `placed` names them, prefills remotely where one was found for it, and
    /// sends the request.
    async fn start(
        &mut self,
        mut placed: Option<StreamPlacement<P>>,
    ) -> Result<StartedAttempt<P>, Refused> {
        let mut cache: Option<CacheHold<P>> = None;
        // Only the first remote prefill of a request adds no load beyond the request itself.
        let mut prefills = u32::from(self.call.ran > 0);
        loop {
            if self.shared.left(self.call.deadline).is_zero() {
                return Err(forward_refusal::past_deadline(&self.call));
            }
            cache = cache.filter(|cache| cache.age() < self.shared.options().cache_time);
            let found = if let Some(placed) = placed.take() {
                placed
            } else {
                let remote =
                    prefills < FREE_PREFILLS || (prefills == FREE_PREFILLS && self.spend_retry());
                self.find(cache.is_some() || !remote).await?
            };
            let StreamPlacement {
                decode: hold,
                reservation,
                mut placement,
                prefill,
            } = found;
            if let Some(prefill) = prefill {
                prefills += 1;
                let start = self.shared.now();
                let computed = self.prefill(prefill).await;
                let took = self.shared.now() - start;
                self.call.times.prefill += took;
                cache = computed?;
                if cache.is_some() {
                    self.call.times.prefills += 1;
                    placement.prefilled(took);
                }
            }
            if !hold.is_current(&self.shared) {
                ForwardLog::new(&self.shared, &self.call).left_before_sent(&hold);
                continue;
            }
            self.call.tried.push(hold.key);
            let handle = cache.as_ref().and_then(CacheHold::handle);
            let reserved = reservation.as_ref().and_then(ReservationHold::handle);
            match self.send_to(&hold, handle, reserved).await {
                Awaited::Response(Ok(response)) => {
                    if let Some(reservation) = reservation {
                        reservation.used();
                    }
                    if let Some(cache) = cache {
                        cache.used();
                    }
                    hold.record_notice(&self.shared, response.notice);
                    hold.record_accepted();
                    return Ok(StartedAttempt {
                        status: response.status,
                        headers: response.headers,
                        body: response.body,
                        hold,
                        placement,
                    });
                }
                Awaited::Response(Err(error)) => {
                    placement.failed(&error);
                    // Reports the crash before the next placement request.
                    drop(placement);
                    self.after_failure(&hold, &error)?;
                    // Reuses the cache only if the endpoint certainly did not take it.
                    cache = cache.filter(|_| error.is_not_run());
                }
                Awaited::Replacement(replacement) => {
                    placed = Some(self.record_replaced(&hold, *replacement));
                    cache = None;
                }
            }
        }
    }

    /// Finds the endpoints of an attempt; with `local`, the decode endpoint prefills.
    async fn find(&mut self, local: bool) -> Result<StreamPlacement<P>, Refused> {
        let searched = self.shared.now();
        let search = PlacementSearch::new(&self.shared, &mut self.call);
        let found = search.find(local).await;
        let waited = self.shared.now() - searched;
        self.call.times.placement += waited;
        if found.is_ok() {
            let waited = waited.as_secs_f64();
            self.shared.counters().placement_time.observe(waited);
        }
        found
    }

    /// Spends one retry of the pool's budget; `false` if none is left.
    fn spend_retry(&self) -> bool {
        self.shared.budget(&self.call.pool).spend()
    }

    /// Computes the prompt at `hold`; `None` if that failed and another attempt may follow.
    ///
    /// # Errors
    ///
    /// Refuses the request if the prefill failed, and its deadline has passed or the retry budget is spent.
    async fn prefill(&self, hold: EndpointHold) -> Result<Option<CacheHold<P>>, Refused> {
        ForwardLog::new(&self.shared, &self.call).chosen(&hold, "prefill");
        let start = self.shared.now();
        let request = UpstreamRequest {
            resume_after: self.last_id,
            ..self.call.upstream_request(&self.shared, &hold)
        };
        let (computed, permit) = self.await_prefill(&hold, request).await;
        let error = match computed {
            Ok(Noticed { value, notice }) => {
                hold.record_notice(&self.shared, notice);
                hold.record_response_time(self.shared.now() - start);
                hold.record_accepted();
                hold.record_end(false);
                return Ok(Some(CacheHold::new(&self.shared, value)));
            }
            Err(error) => error,
        };
        hold.record_failure(&self.shared, &error);
        let log = ForwardLog::new(&self.shared, &self.call);
        if self.shared.left(self.call.deadline).is_zero() {
            log.attempt_failed(&hold, &error, NextStep::Refuse(Refusal::DeadlinePassed));
            return Err(forward_refusal::past_deadline(&self.call));
        }
        // The next attempt is further load on the pool, unless this one was never sent.
        let free = matches!(error, UpstreamError::Unsent(_));
        let permit = permit.or_else(|| RetryPermit::take(&self.shared, &self.call.pool));
        match permit {
            Some(permit) if !free => permit.spend(),
            None if !free => {
                log.attempt_failed(&hold, &error, NextStep::Refuse(Refusal::RetryBudget));
                return Err(forward_refusal::budget_spent(&self.shared, &self.call));
            }
            _ => {}
        }
        log.attempt_failed(&hold, &error, NextStep::Retry(RetryReason::PrefillBroken));
        Ok(None)
    }

    /// Waits for the response to a prefill. Once it is overdue, it is given up as `TimedOut` as soon as
    /// there is a retry for what follows, which is returned with the error.
    async fn await_prefill(
        &self,
        hold: &EndpointHold,
        request: UpstreamRequest,
    ) -> (
        Result<Noticed<CacheHandle>, UpstreamError>,
        Option<RetryPermit>,
    ) {
        let mut prefill = pin!(self.shared.parts().upstream().prefill(request));
        let limit = self.shared.options().prefill_timeout;
        let limit = limit.min(self.shared.left(self.call.deadline));
        if let Ok(computed) = timeout(limit, &mut prefill).await {
            return (computed, None);
        }
        hold.avoid_overdue(&self.shared);
        let left = self.shared.left(self.call.deadline);
        let either = async {
            select! {
                biased;
                computed = prefill => (computed, None),
                permit = RetryPermit::wait(&self.shared, &self.call.pool) => {
                    (Err(UpstreamError::TimedOut), Some(permit))
                }
            }
        };
        let ended = timeout(left, either).await;
        ended.unwrap_or((Err(UpstreamError::TimedOut), None))
    }

    /// Sends the request to `hold` and waits for the head of the response, or for a replacement.
    async fn send_to(
        &mut self,
        hold: &EndpointHold,
        cache: Option<CacheHandle>,
        reservation: Option<Reservation>,
    ) -> Awaited<UpstreamResponse<BodyOf<P>>, P> {
        let request = UpstreamRequest {
            cache,
            reservation,
            resume_after: self.last_id,
            ..self.call.upstream_request(&self.shared, hold)
        };
        let send = self.shared.parts().upstream().send(request);
        let wait = OverdueWait {
            shared: &self.shared,
            call: &self.call,
            hold,
            search: &mut self.search,
            limit: self.shared.options().first_event,
        };
        let awaited = wait.wait(send).await;
        self.search = None;
        self.progress = self.shared.now();
        awaited
    }

    /// Reads the complete response of an endpoint whose status is not a success; `None` if that failed and
    /// another attempt is to follow.
    ///
    /// # Errors
    ///
    /// Refuses the request if that failed and no other attempt may follow.
    async fn buffer_failure(
        &mut self,
        response: StartedAttempt<P>,
    ) -> Result<Option<ForwardResponse>, Refused> {
        let status = response.status;
        let left = self.shared.left(self.call.deadline);
        let body = timeout(left, collect_failure(&self.shared, response.body)).await;
        match body.unwrap_or(Err(UpstreamError::TimedOut)) {
            Ok(body) => {
                self.open = false;
                response.hold.record_end(true);
                let log = ForwardLog::new(&self.shared, &self.call);
                log.stream_answered(&response.hold.name, status, 0);
                Ok(Some(ForwardResponse {
                    status,
                    headers: response.headers,
                    body,
                }))
            }
            Err(error) => {
                self.after_failure(&response.hold, &error)?;
                Ok(None)
            }
        }
    }

    /// Ends the attempt and logs the refusal, as truncated once an event went to the caller.
    fn close_refused(&mut self, refused: &Refused) {
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
