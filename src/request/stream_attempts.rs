use {
    super::{
        CacheHold, EndpointHold, ForwardCall, ForwardLog, ForwardParts, ForwardShared, Refused,
        ReservationHold, caller_check,
        forward_log::NextStep,
        forward_refusal,
        overdue_wait::{Awaited, OverdueWait},
        placement_search::{PlacementSearch, StreamPlacement},
        quota_charge,
        replacement_search::{Replacement, ReplacementSearch},
        retry_permit::RetryPermit,
        stream_run::{BodyOf, StartedAttempt},
    },
    crate::{
        board::{Refusal, RetryReason, Tick},
        decide::Verdict,
        port::{
            CacheHandle, Noticed, Reservation, Upstream, UpstreamError, UpstreamRequest,
            UpstreamResponse,
        },
    },
    std::pin::pin,
    tokio::{select, time::timeout},
};

/// Remote prefills that need no retry budget; one more spends a retry, and after it prefill is local.
const FREE_PREFILLS: u32 = 1;

/// Attempts of one stream: finds their endpoints, starts them, and decides what follows a failed one.
#[derive(Debug)]
pub struct StreamAttempts<P>
where
    P: ForwardParts,
{
    /// State that all forwarded requests share.
    pub shared: ForwardShared<P>,
    /// The request.
    pub call: ForwardCall,
    /// Number of the last event that the caller has.
    pub last_id: Option<u64>,
    /// Number of events that were sent to the caller.
    pub events: u64,
    /// When the attempt was sent, accepted, or last sent more than a comment.
    pub progress: Tick,
    /// Search for a replacement of the attempt, while it is overdue.
    pub search: Option<ReplacementSearch<P>>,
}

impl<P> StreamAttempts<P>
where
    P: ForwardParts,
{
    /// Prepares the attempts of `call`.
    pub fn new(shared: &ForwardShared<P>, call: ForwardCall) -> Self {
        Self {
            shared: shared.clone(),
            last_id: call.request.resume_after,
            call,
            events: 0,
            progress: shared.now(),
            search: None,
        }
    }

    /// Records that the overdue attempt at `hold` was ended for `replacement`; returns where that runs.
    pub fn record_replaced(
        &mut self,
        hold: &EndpointHold,
        replacement: Box<Replacement<P>>,
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
    pub fn after_failure(
        &mut self,
        hold: &EndpointHold,
        error: &UpstreamError,
    ) -> Result<(), Refused> {
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
    pub async fn start(
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
            caller_check::admit_again(&self.shared, &mut self.call)?;
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
            caller_check::admit_again(&self.shared, &mut self.call)?;
            quota_charge::spend(&self.shared, &mut self.call).await?;
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
                    placed = Some(self.record_replaced(&hold, replacement));
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
        let permit = permit.or_else(|| RetryPermit::take(self.shared.budget(&self.call.pool)));
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
        let clock = self.shared.parts().clock();
        let either = async {
            select! {
                biased;
                computed = prefill => (computed, None),
                permit = RetryPermit::wait(self.shared.budget(&self.call.pool), clock) => {
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
}
