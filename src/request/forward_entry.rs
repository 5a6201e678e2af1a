use {
    super::{
        EventRelay, ForwardCall, ForwardLog, ForwardParts, ForwardShared, Refused, caller_check,
        forward_buffered, forward_log::log_refused, forward_response::ForwardResponse,
        opened_stream::OpenedStream, quota_charge, stream_times::StreamTimes,
    },
    crate::{
        board::{PathRoute, Refusal, ResponseKind, Routing, StopPhase, Tick},
        key::CauseKey,
        port::ForwardRequest,
    },
    http::HeaderMap,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
};

/// Wait suggested to callers of a daemon that is stopping; other daemons accept requests at once.
const STOPPING_RETRY: Duration = Duration::from_millis(20);

/// Accepts requests from a front end and forwards them.
#[derive(Clone, Debug)]
pub struct ForwardEntry<P> {
    shared: ForwardShared<P>,
}

/// Result of a forwarded request, for the front end to send to the caller.
#[derive(Debug)]
pub enum ForwardReply<P>
where
    P: ForwardParts,
{
    /// Complete response of an endpoint.
    Complete(ForwardResponse),
    /// Headers of a stream of events, and the relay that yields them.
    Events(HeaderMap, Box<EventRelay<P>>),
    /// The request was refused, without a response of an endpoint.
    Refused(Refused),
}

impl<P> ForwardEntry<P>
where
    P: ForwardParts,
{
    /// Creates the entry for requests that use `shared`.
    pub fn new(shared: ForwardShared<P>) -> Self {
        Self { shared }
    }

    /// Returns the state that all forwarded requests share.
    pub fn shared(&self) -> &ForwardShared<P> {
        &self.shared
    }

    /// Forwards `request`, whose caller waits for `timeout` or for the time-out of the route,
    /// whichever is shorter.
    pub async fn forward(
        &self,
        request: ForwardRequest,
        timeout: Option<Duration>,
    ) -> ForwardReply<P> {
        self.shared.counters().requests.inc();
        let request = Arc::new(request);
        let admitted = match self.admit(&request, timeout) {
            Ok(call) => quota_charge::reserve(&self.shared, call).await,
            Err(refused) => Err(refused),
        };
        let call = match admitted {
            Ok(call) => call,
            Err(refused) => {
                log_refused(&self.shared, &request.id, &refused);
                return ForwardReply::Refused(refused);
            }
        };
        self.shared.budget(&call.pool).earn();
        let credit = call.credit.clone();
        let reply = self.run(call).await;
        if let ForwardReply::Refused(refused) = &reply {
            quota_charge::refund(credit.as_deref(), refused);
        }
        reply
    }

    /// Forwards an admitted request.
    async fn run(&self, call: ForwardCall) -> ForwardReply<P> {
        match call.route.response {
            ResponseKind::Complete => self.buffered(call).await,
            ResponseKind::Events => match EventRelay::open(&self.shared, call).await {
                OpenedStream::Events(headers, relay) => ForwardReply::Events(headers, relay),
                OpenedStream::Failure(response) => ForwardReply::Complete(response),
                OpenedStream::Refused(refused) => ForwardReply::Refused(refused),
            },
        }
    }

    async fn buffered(&self, call: ForwardCall) -> ForwardReply<P> {
        let mut guard = DisconnectGuard {
            shared: &self.shared,
            call,
            open: true,
        };
        let result = forward_buffered(&self.shared, &mut guard.call).await;
        guard.open = false;
        let log = ForwardLog::new(&self.shared, &guard.call);
        match result {
            Ok(response) => {
                let took = self.shared.now() - guard.call.arrived;
                self.shared
                    .counters()
                    .response_time
                    .observe(took.as_secs_f64());
                log.answered(response.status);
                ForwardReply::Complete(response)
            }
            Err(refused) => {
                log.refused(refused.reason, 0, &refused.detail);
                ForwardReply::Refused(refused)
            }
        }
    }

    /// Finds the route of `request` and its deadline, or refuses it.
    fn admit(
        &self,
        request: &Arc<ForwardRequest>,
        timeout: Option<Duration>,
    ) -> Result<ForwardCall, Refused> {
        let arrived = self.shared.now();
        let routing = self.shared.board().routing.load();
        let wait = self.shared.options().retry_after;
        if routing.version == 0 {
            let detail = "no routes are known yet; send the request again";
            return Err(Refused::not_run(Refusal::NotReady, detail).after(wait));
        }
        let Some((_, route)) = routing.find(&request.host, request.path()) else {
            return Err(self.no_route(&routing, request));
        };
        let admission = caller_check::admit(&self.shared, &routing, route, request)?;
        let route = route.clone();
        // A caller that retries states how much of its time is left.
        let late = timeout.is_some_and(|timeout| timeout + route.target <= route.timeout);
        let timeout = timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let deadline = self.deadline_in_stop(arrived + timeout, route.response)?;
        let organisation = admission.organisation.as_ref();
        let cost = quota_charge::cost(&routing, organisation, request);
        Ok(ForwardCall {
            pool: self.draw_pool(&route),
            route,
            version: routing.version,
            admitted_by: routing.version,
            organisation: admission.organisation,
            priority: admission.priority,
            identity: admission.identity,
            cost,
            credit: None,
            arrived,
            deadline,
            late,
            causes: causes(request),
            suspect: false,
            crashed: false,
            tried: Vec::new(),
            turned_away: 0,
            ran: 0,
            times: StreamTimes::default(),
            request: Arc::clone(request),
        })
    }

    /// Returns the deadline of a request that may take until `deadline`: a planned stop bounds it, so that
    /// the caller gets a response.
    ///
    /// Refuses a request that begins late in a planned stop: streams, and calls that may take longer.
    fn deadline_in_stop(&self, deadline: Tick, response: ResponseKind) -> Result<Tick, Refused> {
        let health = **self.shared.board().health.load();
        let end = health.stop_end.unwrap_or(deadline);
        let too_long = response == ResponseKind::Events || deadline > end;
        if health.stop_phase == StopPhase::Closing && too_long {
            let detail = "the daemon is stopping and starts nothing that may take longer; send the request to another daemon";
            return Err(Refused::not_run(Refusal::Stopping, detail).after(STOPPING_RETRY));
        }
        Ok(deadline.min(end))
    }

    /// Refuses a request without a route: as `UnknownKind` while the store is available, else as
    /// `NotReady`, since the routes known here may be out of date.
    fn no_route(&self, routing: &Routing, request: &ForwardRequest) -> Refused {
        let store = self.shared.board().health.load().store_reachable;
        log::info!(
            request = request.id.as_str(),
            host = request.host.as_str(),
            version = routing.version,
            store;
            "no route matches the host and path; refusing the request"
        );
        if store {
            let detail = "no route takes this host and path";
            return Refused::not_run(Refusal::UnknownKind, detail);
        }
        let detail =
            "no known route takes this host and path, and the store is unavailable; send it again";
        Refused::not_run(Refusal::NotReady, detail).after(self.shared.options().retry_after)
    }

    /// Draws one of the route's pools at random, by weight; empty if the route has none.
    fn draw_pool(&self, route: &PathRoute) -> String {
        let total: u32 = route.pools.iter().map(|(_, weight)| weight).sum();
        let mut draw = self.shared.draw() as u32 % total.max(1);
        for (pool, weight) in &route.pools {
            if draw < *weight {
                return pool.clone();
            }
            draw -= weight;
        }
        route
            .pools
            .first()
            .map(|(pool, _)| pool.clone())
            .unwrap_or_default()
    }
}

/// Returns what of a request may crash engines.
fn causes(request: &ForwardRequest) -> Vec<CauseKey> {
    let parts = request.shared_parts.iter();
    let parts = parts.map(|part| CauseKey::of_part(part));
    std::iter::once(fingerprint(request)).chain(parts).collect()
}

/// Hash of method, host, target and body: the same for a request that is sent again under another id.
fn fingerprint(request: &ForwardRequest) -> CauseKey {
    let mut hasher = DefaultHasher::new();
    let ForwardRequest {
        method,
        host,
        target,
        body,
        ..
    } = request;
    (method, host, target, body).hash(&mut hasher);
    CauseKey::of_request(hasher.finish())
}

/// Logs that the caller disconnected if it is dropped while `open`.
struct DisconnectGuard<'a, P>
where
    P: ForwardParts,
{
    shared: &'a ForwardShared<P>,
    call: ForwardCall,
    open: bool,
}

impl<P> Drop for DisconnectGuard<'_, P>
where
    P: ForwardParts,
{
    fn drop(&mut self) {
        if self.open {
            ForwardLog::new(self.shared, &self.call).abandoned(0);
        }
    }
}
