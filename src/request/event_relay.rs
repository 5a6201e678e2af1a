use {
    super::{
        EndpointHold, ForwardCall, ForwardLog, ForwardParts, ForwardShared, Refused,
        forward_buffered::{FIRST_SERVER_ERROR, collect_failure},
        forward_response::ForwardResponse,
        opened_stream::OpenedStream,
        overdue_wait::{Awaited, OverdueWait},
        placement_search::StreamPlacement,
        replacement_search::Replacement,
        stream_attempts::StreamAttempts,
        stream_run::{RunningAttempt, StartedAttempt},
    },
    crate::{
        board::Refusal,
        port::{ResponseBody, ResponseEvent, UpstreamError},
    },
    bytes::Bytes,
    std::time::Duration,
    tokio::time::timeout,
};

/// Status code of a stream that began.
const SUCCESS: u16 = 200;

/// First status code that is not a success.
const FIRST_NON_SUCCESS: u16 = 300;

/// Stream of events to the caller, resumed at another endpoint when an attempt breaks.
///
/// Dropping it closes the connection to the endpoint, which ends the attempt there.
#[derive(Debug)]
pub struct EventRelay<P>
where
    P: ForwardParts,
{
    attempts: StreamAttempts<P>,
    run: Option<RunningAttempt<P>>,
    event_tokens: u64,
    open: bool,
}

impl<P> EventRelay<P>
where
    P: ForwardParts,
{
    /// Starts the stream of `call` and waits for the head of its response.
    pub async fn open(shared: &ForwardShared<P>, call: ForwardCall) -> OpenedStream<P> {
        let routing = shared.board().routing.load();
        let plan = routing.pools.get(&call.pool);
        let event_tokens = plan.map_or(1, |plan| u64::from(plan.event_tokens));
        let mut relay = Self {
            attempts: StreamAttempts::new(shared, call),
            run: None,
            event_tokens,
            open: true,
        };
        loop {
            let opened = match relay.attempts.start(None).await {
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
                shared: &self.attempts.shared,
                call: &self.attempts.call,
                hold: &run.hold,
                search: &mut self.attempts.search,
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
                    if let Err(refused) = self.replace(replacement).await {
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
        let options = self.attempts.shared.options();
        let awaits_first = self.run.as_ref().is_none_or(|run| run.awaits_first);
        let limit = if awaits_first {
            options.first_event
        } else {
            options.stall_timeout
        };
        limit.saturating_sub(self.attempts.shared.now() - self.attempts.progress)
    }

    /// Records `event`; returns whether it goes to the caller, `false` if the caller already has it.
    ///
    /// # Errors
    ///
    /// Fails as broken if events are missing before it, or if it is not one of a resumed stream.
    fn accept(&mut self, event: &ResponseEvent) -> Result<bool, UpstreamError> {
        let awaits_first = self.run.as_ref().is_some_and(|run| run.awaits_first);
        let resumed = awaits_first && self.attempts.last_id.is_some();
        if event.id.is_none() {
            if event.is_comment() {
                return Ok(!resumed);
            }
            if resumed {
                let detail = "the response does not go on with a numbered event".to_owned();
                return Err(UpstreamError::Broken(detail));
            }
        }
        let now = self.attempts.shared.now();
        self.attempts.progress = now;
        self.attempts.search = None;
        if let Some(run) = &mut self.run
            && run.awaits_first
        {
            run.awaits_first = false;
            if self.attempts.events == 0 {
                let took = (now - self.attempts.call.arrived).as_secs_f64();
                self.attempts
                    .shared
                    .counters()
                    .first_event_time
                    .observe(took);
            }
        }
        if let (Some(last), Some(id)) = (self.attempts.last_id, event.id) {
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
        self.attempts
            .call
            .times
            .record_event(self.attempts.call.arrived, now);
        self.attempts.last_id = event.id.or(self.attempts.last_id);
        self.attempts.events += 1;
        self.attempts.shared.counters().tokens.inc();
        Ok(true)
    }

    /// Records and logs the regular end of the stream.
    fn finish(&mut self) {
        self.open = false;
        if let Some(mut run) = self.run.take() {
            run.placement.answered(self.attempts.events);
            run.hold.record_end(false);
            let log = ForwardLog::new(&self.attempts.shared, &self.attempts.call);
            log.stream_answered(&run.hold.name, SUCCESS, self.attempts.events);
        }
    }

    /// Ends the broken attempt and starts another one after the last event sent to the caller.
    async fn fail_over(&mut self, error: &UpstreamError) -> Result<(), Refused> {
        let hold = self.end_run(error)?;
        self.attempts.after_failure(&hold, error)?;
        drop(hold);
        self.start_again(None).await
    }

    /// Ends the overdue attempt and starts another one, where `replacement` has room for it.
    async fn replace(&mut self, replacement: Box<Replacement<P>>) -> Result<(), Refused> {
        let error = UpstreamError::TimedOut;
        let hold = self.end_run(&error)?;
        let placement = self.attempts.record_replaced(&hold, replacement);
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
        self.attempts.search = None;
        // Closes the connection first: the old attempt ends before another one continues.
        drop(run.body);
        let mut placement = run.placement;
        placement.failed(error);
        Ok(run.hold)
    }

    /// Starts an attempt that goes on after the last event sent to the caller, at `placed` if present; the
    /// next one if its endpoint only reports a failure.
    async fn start_again(&mut self, mut placed: Option<StreamPlacement<P>>) -> Result<(), Refused> {
        loop {
            let response = self.attempts.start(placed.take()).await?;
            let status = response.status;
            if status < FIRST_NON_SUCCESS {
                self.run = Some(response.into_run().1);
                return Ok(());
            }
            let detail = format!(
                "the endpoint that was to resume the stream responded with status {status}"
            );
            if status < FIRST_SERVER_ERROR {
                response.hold.record_end(true);
                return Err(Refused::unknown(Refusal::Truncated, &detail));
            }
            let hold = response.hold;
            drop(response.body);
            self.attempts
                .after_failure(&hold, &UpstreamError::Broken(detail))?;
        }
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
        let left = self.attempts.shared.left(self.attempts.call.deadline);
        let body = timeout(left, collect_failure(&self.attempts.shared, response.body)).await;
        match body.unwrap_or(Err(UpstreamError::TimedOut)) {
            Ok(body) => {
                self.open = false;
                response.hold.record_end(true);
                let log = ForwardLog::new(&self.attempts.shared, &self.attempts.call);
                log.stream_answered(&response.hold.name, status, 0);
                Ok(Some(ForwardResponse {
                    status,
                    headers: response.headers,
                    body,
                }))
            }
            Err(error) => {
                self.attempts.after_failure(&response.hold, &error)?;
                Ok(None)
            }
        }
    }

    /// Ends the attempt and logs the refusal, as truncated once an event went to the caller.
    fn close_refused(&mut self, refused: &Refused) {
        self.open = false;
        self.run = None;
        let reason = if self.attempts.events > 0 {
            Refusal::Truncated
        } else {
            refused.reason
        };
        let log = ForwardLog::new(&self.attempts.shared, &self.attempts.call);
        log.refused(reason, self.attempts.events, &refused.detail);
    }
}

impl<P> Drop for EventRelay<P>
where
    P: ForwardParts,
{
    fn drop(&mut self) {
        if self.open {
            ForwardLog::new(&self.attempts.shared, &self.attempts.call)
                .abandoned(self.attempts.events);
        }
    }
}
