use {
    super::{ForwardParts, ForwardShared},
    crate::{
        board::{EndpointSlot, Role, SeenLoad, Tick},
        decide::{EndpointOption, choose_endpoint},
        key::EndpointKey,
        port::UpstreamError,
    },
    std::{sync::Arc, time::Duration},
};

/// Silences after which the time for which an endpoint is avoided no longer grows.
const SILENCES: u32 = 4;

/// Refusals in a row from which on an engine is taken to refuse everything.
const REFUSALS: u32 = 2;

/// Time for which an engine is avoided at first after refusals; it doubles with each further one.
const REFUSED_TIME: Duration = Duration::from_millis(500);

/// Doublings of that time at most.
const REFUSED_DOUBLINGS: u32 = 3;

/// Tokens that a request of others is taken to need, where only their number is known.
const OTHER_TOKENS: f64 = 5_000.0;

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointNeed<'a> {
    /// Pool.
    pub pool: &'a str,
    /// What the endpoint must do.
    pub role: Role,
    /// Tokens of memory; 0 where requests are counted.
    pub tokens: u64,
    /// Endpoints that the request has been sent to.
    pub tried: &'a [EndpointKey],
}

/// An endpoint that a request was assigned to. Dropping it gives the place back.
#[derive(Debug)]
pub struct EndpointHold {
    /// The endpoint.
    pub key: EndpointKey,
    /// Name.
    pub name: String,
    /// Address, `ip:port`.
    pub address: String,
    /// What was known when it was chosen.
    pub option: EndpointOption,
    /// Number of endpoints that it was chosen among.
    pub among: usize,
    slot: Arc<EndpointSlot>,
    tokens: u64,
    role: Role,
    since: Tick,
}

impl EndpointHold {
    /// Chooses an endpoint for `need` and takes a place at it; nothing if the pool has none.
    pub fn choose<P>(shared: &ForwardShared<P>, need: &EndpointNeed<'_>) -> Option<Self>
    where
        P: ForwardParts,
    {
        let options = options(shared, need);
        let chosen = choose_endpoint(&options, shared.draw())?;
        Self::take(shared, need, chosen, options.len())
    }

    /// Takes a place at the endpoint `name`; nothing if the pool has none of that name and role.
    pub fn at<P>(shared: &ForwardShared<P>, need: &EndpointNeed<'_>, name: &str) -> Option<Self>
    where
        P: ForwardParts,
    {
        let options = options(shared, need);
        let fleet = shared.board().fleet.load();
        let key = fleet.endpoints.find(name)?;
        let chosen = *options.iter().find(|option| option.key == key)?;
        Self::take(shared, need, chosen, options.len())
    }

    fn take<P>(
        shared: &ForwardShared<P>,
        need: &EndpointNeed<'_>,
        chosen: EndpointOption,
        among: usize,
    ) -> Option<Self>
    where
        P: ForwardParts,
    {
        let fleet = shared.board().fleet.load();
        let endpoint = fleet.endpoints.get(chosen.key)?;
        endpoint.slot.traffic.enter(need.tokens);
        Some(Self {
            key: chosen.key,
            name: endpoint.name.clone(),
            address: endpoint.address.clone(),
            option: chosen,
            among,
            slot: Arc::clone(&endpoint.slot),
            tokens: need.tokens,
            role: need.role,
            since: shared.now(),
        })
    }

    /// Time since the endpoint was chosen.
    pub fn age<P>(&self, shared: &ForwardShared<P>) -> Duration
    where
        P: ForwardParts,
    {
        shared.now() - self.since
    }

    /// Requests of this process at the endpoint, this one among them.
    pub fn running(&self) -> u32 {
        self.slot.traffic.running()
    }

    /// Records the load that the endpoint told.
    pub fn hear(&self, load: Option<SeenLoad>, now: Tick) {
        if let Some(load) = load {
            self.slot.traffic.hear(load, now);
        }
    }

    /// Records an answer and the time that it took.
    pub fn answered(&self, took: Duration) {
        self.slot.traffic.answered(took);
    }

    /// Records that the attempt ended well, or with a failure that the endpoint answered.
    pub fn ended(&self, failed: bool) {
        self.slot.traffic.ended(failed);
    }

    /// Avoids the endpoint for a while because its answer is overdue; an answer ends that.
    pub fn suspect<P>(&self, shared: &ForwardShared<P>)
    where
        P: ForwardParts,
    {
        let until = shared.now() + shared.options().avoid;
        self.slot.traffic.avoid(until);
        log::info!(endpoint = self.name.as_str(); "avoided: its answer is overdue");
    }

    /// Records that the attempt gave no answer.
    pub fn failed<P>(&self, shared: &ForwardShared<P>, error: &UpstreamError)
    where
        P: ForwardParts,
    {
        let now = shared.now();
        let traffic = &self.slot.traffic;
        match error {
            UpstreamError::Refused { load, .. } => {
                self.hear(*load, now);
                traffic.ended(true);
                if self.role != Role::Service {
                    self.refused(now);
                }
            }
            UpstreamError::Broken(_) => traffic.ended(true),
            UpstreamError::Unsent(_) | UpstreamError::Silent | UpstreamError::Misdirected => {
                traffic.ended(true);
                let times = traffic.silent().min(SILENCES);
                traffic.avoid(now + shared.options().avoid * 2_u32.pow(times - 1));
            }
        }
    }

    /// Takes an engine that refuses again and again to refuse everything for a while: while it
    /// changes what it does, it looks empty.
    fn refused(&self, now: Tick) {
        let traffic = &self.slot.traffic;
        let beyond = traffic.refused().checked_sub(REFUSALS);
        if let Some(beyond) = beyond {
            let time = REFUSED_TIME * 2_u32.pow(beyond.min(REFUSED_DOUBLINGS));
            traffic.turn_away(now + time);
            let ms = time.as_millis() as u64;
            log::info!(endpoint = self.name.as_str(), ms; "avoided: it refuses again and again");
        }
    }

    /// Notes that the endpoint has begun to answer.
    pub fn accepted(&self) {
        self.slot.traffic.accepts();
    }
}

impl Drop for EndpointHold {
    fn drop(&mut self) {
        self.slot.traffic.leave(self.tokens);
    }
}

/// What is known of every endpoint that may serve `need`.
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
    let usable = found.filter(|(_, endpoint)| endpoint.role == need.role && !endpoint.leaving);
    let options = usable.map(|(key, endpoint)| {
        let traffic = &endpoint.slot.traffic;
        let by_tokens = need.tokens > 0 && memory > 0;
        let unit = if by_tokens { OTHER_TOKENS } else { 1.0 };
        let others = traffic.others(now);
        EndpointOption {
            key,
            near: endpoint.zone == shared.options().zone,
            avoided: traffic.is_avoided(now),
            tried: need.tried.contains(&key),
            own: if by_tokens {
                traffic.tokens() as f64
            } else {
                f64::from(traffic.running())
            },
            others: others.map(|(count, age)| (f64::from(count) * unit, age)),
            adds: if by_tokens { need.tokens as f64 } else { 1.0 },
            room: if by_tokens {
                memory as f64
            } else {
                f64::from(endpoint.slots)
            },
            failing: traffic.failing(),
            usual: if by_tokens { None } else { traffic.usual() },
        }
    });
    options.collect()
}
