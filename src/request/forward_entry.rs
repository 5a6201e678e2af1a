use {
    super::{
        EventRelay, ForwardCall, ForwardLog, ForwardParts, ForwardShared, Refused,
        event_relay::Opened, forward_answer::ForwardAnswer, forward_log::not_admitted,
        forward_whole,
    },
    crate::{
        board::{PathRoute, Refusal, ReplyKind, Routing, StopPhase},
        port::ForwardRequest,
    },
    http::HeaderMap,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
};

/// Wait suggested to callers of a daemon that stops; others take their requests at once.
const STOPPING_WAIT: Duration = Duration::from_millis(20);

/// Where a front end hands in requests that are to be forwarded.
#[derive(Clone, Debug)]
pub struct ForwardEntry<P> {
    shared: ForwardShared<P>,
}

/// What a front end gives the caller.
#[derive(Debug)]
pub enum ForwardReply<P>
where
    P: ForwardParts,
{
    /// The whole answer of an endpoint.
    Whole(ForwardAnswer),
    /// Events that follow one another.
    Events(HeaderMap, Box<EventRelay<P>>),
    /// Nothing was answered.
    Refused(Refused),
}

impl<P> ForwardEntry<P>
where
    P: ForwardParts,
{
    /// Creates the entry.
    pub fn new(shared: ForwardShared<P>) -> Self {
        Self { shared }
    }

    /// What the entry shares with every request.
    pub fn shared(&self) -> &ForwardShared<P> {
        &self.shared
    }

    /// Forwards `request`, whose caller waits for `patience`.
    pub async fn forward(
        &self,
        request: ForwardRequest,
        patience: Option<Duration>,
    ) -> ForwardReply<P> {
        self.shared.counters().requests.inc();
        let request = Arc::new(request);
        let call = match self.admit(&request, patience) {
            Ok(call) => call,
            Err(refused) => {
                not_admitted(&self.shared, &request.id, &refused);
                return ForwardReply::Refused(refused);
            }
        };
        self.shared.budget(&call.pool).earn();
        match call.route.reply {
            ReplyKind::Whole => self.whole(call).await,
            ReplyKind::Events => match EventRelay::open(&self.shared, call).await {
                Opened::Events(headers, relay) => ForwardReply::Events(headers, relay),
                Opened::Failure(answer) => ForwardReply::Whole(answer),
                Opened::Refused(refused) => ForwardReply::Refused(refused),
            },
        }
    }

    async fn whole(&self, call: ForwardCall) -> ForwardReply<P> {
        let mut journey = Journey {
            shared: &self.shared,
            call,
            open: true,
        };
        let result = forward_whole(&self.shared, &mut journey.call).await;
        journey.open = false;
        let log = ForwardLog::new(&self.shared, &journey.call);
        match result {
            Ok(answer) => {
                let took = self.shared.now() - journey.call.arrived;
                self.shared
                    .counters()
                    .answer_time
                    .observe(took.as_secs_f64());
                log.answered("", answer.status, 0);
                ForwardReply::Whole(answer)
            }
            Err(refused) => {
                log.refused(refused.reason, 0, &refused.detail);
                ForwardReply::Refused(refused)
            }
        }
    }

    /// Finds the route of `request` and its deadline.
    fn admit(
        &self,
        request: &Arc<ForwardRequest>,
        patience: Option<Duration>,
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
        let closing = self.shared.board().health.load().stop == StopPhase::Closing;
        if closing && route.reply == ReplyKind::Events {
            let detail = "the daemon stops before a stream could end";
            return Err(Refused::not_run(Refusal::Stopping, detail).after(STOPPING_WAIT));
        }
        let route = route.clone();
        // Callers that come again say how much of their time is left.
        let late = patience.is_some_and(|patience| patience + route.target <= route.timeout);
        let patience = patience.map_or(route.timeout, |patience| patience.min(route.timeout));
        Ok(ForwardCall {
            pool: self.pool(&route),
            route,
            version: routing.version,
            arrived,
            deadline: arrived + patience,
            late,
            print: fingerprint(request),
            suspect: false,
            tried: Vec::new(),
            ran: 0,
            request: Arc::clone(request),
        })
    }

    /// Without the store a route may be new, so that only a daemon that reaches it says "unknown".
    fn no_route(&self, routing: &Routing, request: &ForwardRequest) -> Refused {
        let store = self.shared.board().health.load().store;
        log::info!(
            request = request.id.as_str(),
            host = request.host.as_str(),
            version = routing.version,
            store;
            "no route"
        );
        if store {
            let detail = "no route takes this host and path";
            return Refused::not_run(Refusal::UnknownKind, detail);
        }
        let detail = "no known route takes this host and path, and the store is not reached";
        Refused::not_run(Refusal::NotReady, detail).after(self.shared.options().retry_after)
    }

    /// Draws one of the route's pools by weight.
    fn pool(&self, route: &PathRoute) -> String {
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

/// Hash of what makes a request the same when it is sent again under another id.
fn fingerprint(request: &ForwardRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&request.host, &request.target, &request.body).hash(&mut hasher);
    hasher.finish()
}

/// Notices that the caller of a request has gone before its answer.
struct Journey<'a, P>
where
    P: ForwardParts,
{
    shared: &'a ForwardShared<P>,
    call: ForwardCall,
    open: bool,
}

impl<P> Drop for Journey<'_, P>
where
    P: ForwardParts,
{
    fn drop(&mut self) {
        if self.open {
            ForwardLog::new(self.shared, &self.call).abandoned(0);
        }
    }
}
