use {
    super::{ForwardParts, ForwardShared},
    crate::{
        board::{Endpoint, EndpointCounters, EndpointTraffic, RequestRate, Role, Tick},
        decide::{EndpointOption, ServiceOption, choose_by_completion, choose_endpoint},
        key::EndpointKey,
        port::{EndpointNotice, UpstreamError},
    },
    std::{sync::Arc, time::Duration},
};

/// Consecutive unanswered attempts after which the time for which an endpoint is avoided no longer
/// grows.
const MAX_UNANSWERED: u32 = 4;

/// Consecutive refusals from which on an engine is assumed to refuse every request.
const REFUSAL_LIMIT: u32 = 2;

/// Time for which an engine is avoided at `REFUSAL_LIMIT`; it doubles with each further refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Maximum doublings of `REFUSAL_TIME`.
const MAX_DOUBLINGS: u32 = 3;

/// Longest time for which an endpoint gets no requests because it said so.
const MAX_PAUSE: Duration = Duration::from_hours(1);

/// Tokens assumed for a request of another daemon, where only the number of requests is known.
const OTHER_TOKENS: f64 = 5_000.0;

/// What an attempt needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointNeed<'a> {
    /// Name of the pool that the endpoint must be in.
    pub pool: &'a str,
    /// Role that the endpoint must have.
    pub role: Role,
    /// Tokens of memory that the attempt needs; 0 where load is counted in requests.
    pub tokens: u64,
    /// Endpoints that the request was sent to, chosen again only if no other is left.
    pub tried: &'a [EndpointKey],
}

/// An endpoint that an attempt was assigned to, counted in the endpoint's load until it is dropped.
#[derive(Debug)]
pub struct EndpointHold {
    /// Key of the endpoint in the fleet.
    pub key: EndpointKey,
    /// Name of the endpoint.
    pub name: String,
    /// Address of the endpoint, `ip:port`.
    pub address: String,
    /// Figures of the endpoint when it was chosen.
    pub option: EndpointOption,
    /// Number of endpoints that it was chosen from.
    pub candidates: usize,
    counters: Arc<EndpointCounters>,
    /// Start time of the endpoint when it was chosen.
    incarnation: u64,
    tokens: u64,
    role: Role,
    since: Tick,
}

impl EndpointHold {
    /// Chooses an endpoint for `need` within the limits that endpoints state, and counts the attempt
    /// in its load; `None` if there is none.
    pub fn choose<P>(shared: &ForwardShared<P>, need: &EndpointNeed<'_>) -> Option<Self>
    where
        P: ForwardParts,
    {
        Self::choose_among(shared, need, options(shared, need))
    }

    /// Chooses as `choose` does, but none of the endpoints that the request was sent to.
    pub fn choose_untried<P>(shared: &ForwardShared<P>, need: &EndpointNeed<'_>) -> Option<Self>
    where
        P: ForwardParts,
    {
        let mut options = options(shared, need);
        options.retain(|option| !option.tried);
        Self::choose_among(shared, need, options)
    }

    /// Returns the services that may serve `need`, with their recent reports.
    pub fn service_options<P>(
        shared: &ForwardShared<P>,
        need: &EndpointNeed<'_>,
    ) -> Vec<ServiceOption>
    where
        P: ForwardParts,
    {
        with_news(shared, &options(shared, need))
    }

    fn choose_among<P>(
        shared: &ForwardShared<P>,
        need: &EndpointNeed<'_>,
        mut options: Vec<EndpointOption>,
    ) -> Option<Self>
    where
        P: ForwardParts,
    {
        let fleet = shared.board().fleet.load();
        let (now, daemons) = (shared.now(), shared.daemons());
        let limit = |key| Some(&fleet.endpoints.get(key)?.counters.traffic.limit);
        options.retain(|option| limit(option.key).is_some_and(|l| l.wait(now, daemons).is_zero()));
        loop {
            let chosen = draw_among(shared, need, &options)?;
            if limit(chosen.key)?.try_take(now, daemons) {
                return Self::assign(shared, need, chosen, options.len());
            }
            // Another request has just taken the slot.
            options.retain(|option| option.key != chosen.key);
        }
    }

    /// Assigns the endpoint `name`, which the daemon that places requests chose within its limit;
    /// `None` if the pool has none of that name and role.
    pub fn by_name<P>(
        shared: &ForwardShared<P>,
        need: &EndpointNeed<'_>,
        name: &str,
    ) -> Option<Self>
    where
        P: ForwardParts,
    {
        let options = options(shared, need);
        let fleet = shared.board().fleet.load();
        let key = fleet.endpoints.find(name)?;
        let chosen = *options.iter().find(|option| option.key == key)?;
        Self::assign(shared, need, chosen, options.len())
    }

    fn assign<P>(
        shared: &ForwardShared<P>,
        need: &EndpointNeed<'_>,
        chosen: EndpointOption,
        candidates: usize,
    ) -> Option<Self>
    where
        P: ForwardParts,
    {
        let fleet = shared.board().fleet.load();
        let endpoint = fleet.endpoints.get(chosen.key)?;
        endpoint.counters.traffic.start_request(need.tokens);
        Some(Self {
            key: chosen.key,
            name: endpoint.name.clone(),
            address: endpoint.address.clone(),
            option: chosen,
            candidates,
            counters: Arc::clone(&endpoint.counters),
            incarnation: endpoint.counters.traffic.incarnation(),
            tokens: need.tokens,
            role: need.role,
            since: shared.now(),
        })
    }

    /// Returns the time until the first endpoint of `pool` with `role` wants requests again; `None` if
    /// one wants them now, or there is none.
    pub fn pool_pause<P>(shared: &ForwardShared<P>, pool: &str, role: Role) -> Option<Duration>
    where
        P: ForwardParts,
    {
        let now = shared.now();
        shortest_wait(shared, pool, role, |traffic| traffic.pause_left(now))
    }

    /// Returns the time until this daemon may send a request to the first endpoint of `pool` with
    /// `role`, by what the endpoints said and the limits that they state; `None` if it may now, or
    /// there is none.
    pub fn pool_wait<P>(shared: &ForwardShared<P>, pool: &str, role: Role) -> Option<Duration>
    where
        P: ForwardParts,
    {
        let (now, daemons) = (shared.now(), shared.daemons());
        shortest_wait(shared, pool, role, |traffic| {
            let wait = traffic.limit.wait(now, daemons);
            wait.max(traffic.pause_left(now))
        })
    }

    /// Returns whether the endpoint is still listed and may get requests.
    pub fn is_current<P>(&self, shared: &ForwardShared<P>) -> bool
    where
        P: ForwardParts,
    {
        let fleet = shared.board().fleet.load();
        let endpoint = fleet.endpoints.get(self.key);
        endpoint.is_some_and(|endpoint| may_get_requests(endpoint, shared.now()))
    }

    /// Returns the time since the endpoint was chosen.
    pub fn age<P>(&self, shared: &ForwardShared<P>) -> Duration
    where
        P: ForwardParts,
    {
        shared.now() - self.since
    }

    /// Returns the number of requests of this daemon at the endpoint, this one included.
    pub fn running(&self) -> u32 {
        self.counters.traffic.running()
    }

    /// Gives up one more of the requests that this daemon may send to the endpoint.
    pub fn charge<P>(&self, shared: &ForwardShared<P>)
    where
        P: ForwardParts,
    {
        self.counters.traffic.limit.charge(shared.daemons());
    }

    /// Records what the endpoint said of itself with a response.
    pub fn record_notice<P>(&self, shared: &ForwardShared<P>, notice: EndpointNotice)
    where
        P: ForwardParts,
    {
        self.record(shared, notice, false);
    }

    /// Records what the endpoint said of itself; `refused` if it turned this attempt away.
    fn record<P>(&self, shared: &ForwardShared<P>, notice: EndpointNotice, refused: bool)
    where
        P: ForwardParts,
    {
        let now = shared.now();
        let traffic = &self.counters.traffic;
        if let Some(load) = notice.load {
            traffic.record_load(load, now);
        }
        self.record_service_load(shared, &notice, refused);
        if notice.leaving && traffic.set_leaving(self.incarnation) {
            log::info!(endpoint = self.name.as_str(); "endpoint said that it leaves; it gets no further requests");
        }
        let first_slot = notice.limit.map_or(Duration::ZERO, |rate| {
            rate.interval(shared.daemons()).mul_f64(shared.draw_share())
        });
        if traffic.incarnation() == self.incarnation
            && traffic
                .limit
                .record(notice.limit, self.since, now, first_slot)
        {
            let limit = notice.limit.map(RequestRate::milli);
            log::info!(endpoint = self.name.as_str(), limit_milli = limit; "endpoint stated another limit on the rate of its requests");
        }
        if let Some(pause) = notice.pause
            && traffic.incarnation() == self.incarnation
        {
            let pause = pause.min(MAX_PAUSE);
            traffic.pause(now + pause);
            let ms = pause.as_millis() as u64;
            log::info!(endpoint = self.name.as_str(), ms; "endpoint said to come back later; it gets no requests until then");
        }
    }

    /// Records the load that a service reported; `refused` if it turned this attempt away. An invalid
    /// report is counted, and logged within bounds.
    fn record_service_load<P>(
        &self,
        shared: &ForwardShared<P>,
        notice: &EndpointNotice,
        refused: bool,
    ) where
        P: ForwardParts,
    {
        let now = shared.now();
        let service = &self.counters.traffic.service;
        if let Some(load) = notice.load
            && self.role == Role::Service
        {
            // A refused attempt is not among the requests at the endpoint.
            let own = self.running() - u32::from(refused);
            service.record(load, own, refused, now);
        }
        if notice.invalid_load {
            shared.counters().ignored_reports.inc();
            if service.logs_invalid(now) {
                log::warn!(endpoint = self.name.as_str(); "endpoint reported an invalid load; ignoring it");
            }
        }
    }

    /// Records the response time of the attempt.
    pub fn record_response_time(&self, took: Duration) {
        self.counters.traffic.record_response_time(took);
        self.counters.traffic.service.record_response_time(took);
    }

    /// Records the end of an attempt that got a response; `failed` for an error status.
    pub fn record_end(&self, failed: bool) {
        self.counters.traffic.record_attempt(failed);
    }

    /// Avoids the endpoint for `avoid_time` because its response is overdue, or until it responds.
    pub fn avoid_overdue<P>(&self, shared: &ForwardShared<P>)
    where
        P: ForwardParts,
    {
        let until = shared.now() + shared.options().avoid_time;
        self.counters.traffic.avoid(until);
        log::info!(endpoint = self.name.as_str(); "endpoint avoided: its response is overdue");
    }

    /// Records that the attempt ended without a response; some errors make the endpoint avoided.
    pub fn record_failure<P>(&self, shared: &ForwardShared<P>, error: &UpstreamError)
    where
        P: ForwardParts,
    {
        let now = shared.now();
        let traffic = &self.counters.traffic;
        match error {
            UpstreamError::Refused { notice, .. } => {
                self.record(shared, *notice, true);
                traffic.record_attempt(true);
                if self.role != Role::Service {
                    self.record_refusal(now);
                }
            }
            UpstreamError::Broken(_) => traffic.record_attempt(true),
            UpstreamError::Unsent(_)
            | UpstreamError::Oversized(_)
            | UpstreamError::TimedOut
            | UpstreamError::Misdirected => {
                traffic.record_attempt(true);
                let unanswered = traffic.record_unanswered().min(MAX_UNANSWERED);
                traffic.avoid(now + shared.options().avoid_time * 2_u32.pow(unanswered - 1));
            }
        }
    }

    /// Records a refusal; after `REFUSAL_LIMIT` in a row the engine is avoided for a while.
    ///
    /// An engine that changes its role refuses requests but looks empty, so that it would be chosen
    /// again at once.
    fn record_refusal(&self, now: Tick) {
        let traffic = &self.counters.traffic;
        let beyond = traffic.record_refusal().checked_sub(REFUSAL_LIMIT);
        if let Some(beyond) = beyond {
            let time = REFUSAL_TIME * 2_u32.pow(beyond.min(MAX_DOUBLINGS));
            traffic.expect_refusals(now + time);
            let ms = time.as_millis() as u64;
            log::info!(endpoint = self.name.as_str(), ms; "endpoint avoided: several refusals in a row");
        }
    }

    /// Records that the endpoint accepted the attempt, which ends its avoidance for refusals.
    pub fn record_accepted(&self) {
        self.counters.traffic.clear_refusals();
    }
}

impl Drop for EndpointHold {
    fn drop(&mut self) {
        self.counters.traffic.end_request(self.tokens);
    }
}

/// Returns the shortest `wait` among the endpoints of `pool` with `role` that stay; `None` if it is zero,
/// or there are none.
fn shortest_wait<P, W>(
    shared: &ForwardShared<P>,
    pool: &str,
    role: Role,
    wait: W,
) -> Option<Duration>
where
    P: ForwardParts,
    W: Fn(&EndpointTraffic) -> Duration,
{
    let fleet = shared.board().fleet.load();
    let pool = fleet.pools.get(fleet.pools.find(pool)?)?;
    let members = pool.members.iter();
    let endpoints = members.filter_map(|key| fleet.endpoints.get(*key));
    let staying = endpoints.filter(|endpoint| endpoint.role == role && stays(endpoint));
    let waits = staying.map(|endpoint| wait(&endpoint.counters.traffic));
    waits.min().filter(|wait| !wait.is_zero())
}

/// Returns whether neither the list nor the endpoint itself says that it leaves.
fn stays(endpoint: &Endpoint) -> bool {
    !endpoint.draining && !endpoint.counters.traffic.is_leaving()
}

/// Returns whether the endpoint stays, and has not said to come back later.
fn may_get_requests(endpoint: &Endpoint, now: Tick) -> bool {
    stays(endpoint) && endpoint.counters.traffic.pause_left(now).is_zero()
}

/// Chooses one of `options`: by its expected time if services state how long work takes, else by its load.
fn draw_among<P>(
    shared: &ForwardShared<P>,
    need: &EndpointNeed<'_>,
    options: &[EndpointOption],
) -> Option<EndpointOption>
where
    P: ForwardParts,
{
    if need.role == Role::Service {
        let options = with_news(shared, options);
        if options.iter().any(|option| option.news.is_some()) {
            return choose_by_completion(&options, shared.draw_share());
        }
    }
    choose_endpoint(options, shared.draw())
}

/// Adds the recent reports of services to `options`.
fn with_news<P>(shared: &ForwardShared<P>, options: &[EndpointOption]) -> Vec<ServiceOption>
where
    P: ForwardParts,
{
    let now = shared.now();
    let fleet = shared.board().fleet.load();
    let news = |key| fleet.endpoints.get(key)?.counters.traffic.service.news(now);
    let with_news = options.iter().map(|option| ServiceOption {
        option: *option,
        news: news(option.key),
    });
    with_news.collect()
}

/// Returns the figures of every endpoint that may serve `need`; empty if the pool is not known.
fn options<P>(shared: &ForwardShared<P>, need: &EndpointNeed<'_>) -> Vec<EndpointOption>
where
    P: ForwardParts,
{
    let now = shared.now();
    let fleet = shared.board().fleet.load();
    let routing = shared.board().routing.load();
    let memory = routing
        .pools
        .get(need.pool)
        .map_or(0, |plan| plan.memory_tokens);
    let pool = fleet.pools.find(need.pool);
    let Some(pool) = pool.and_then(|key| fleet.pools.get(key)) else {
        return Vec::new();
    };
    let members = pool.members.iter();
    let found = members.filter_map(|key| Some((*key, fleet.endpoints.get(*key)?)));
    let usable =
        found.filter(|(_, endpoint)| endpoint.role == need.role && may_get_requests(endpoint, now));
    let options = usable.map(|(key, endpoint)| {
        let traffic = &endpoint.counters.traffic;
        let by_tokens = need.tokens > 0 && memory > 0;
        let request_work = if by_tokens { OTHER_TOKENS } else { 1.0 };
        let others = traffic.other_requests(now);
        EndpointOption {
            key,
            same_zone: endpoint.zone == shared.options().zone,
            avoided: traffic.is_avoided(now),
            tried: need.tried.contains(&key),
            own_work: if by_tokens {
                traffic.tokens() as f64
            } else {
                f64::from(traffic.running())
            },
            other_work: others.map(|(count, age)| (f64::from(count) * request_work, age)),
            added_work: if by_tokens { need.tokens as f64 } else { 1.0 },
            capacity: if by_tokens {
                memory as f64
            } else {
                f64::from(endpoint.slots)
            },
            failure_ratio: traffic.failure_ratio(),
            response_time: if by_tokens {
                None
            } else {
                traffic.response_time()
            },
        }
    });
    options.collect()
}
