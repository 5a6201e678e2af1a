use {crate::key::EndpointKey, std::time::Duration};

/// Cost factor of an endpoint in another availability zone, so that among equal endpoints those of
/// the own zone are used.
const OTHER_ZONE_COST_RATIO: f64 = 1.05;

/// Increase of the cost factor at an endpoint whose every attempt fails; proportionally less for
/// lower shares of failures.
const FAILURE_COST_RATIO: f64 = 8.0;

/// Cost added to an endpoint that is avoided, in seconds; above every cost of one that is not.
const AVOIDED_COST_S: f64 = 1e9;

/// Cost added to an endpoint that this request was sent to before, in seconds; above that of an
/// avoided one.
const TRIED_COST_S: f64 = 1e12;

/// Age at which the load that an endpoint reported no longer counts; it decays linearly until then.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Response time assumed for an endpoint that has not responded yet.
const INITIAL_RESPONSE_TIME: Duration = Duration::from_millis(20);

/// An endpoint that may run a request, with what is known of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOption {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Whether it is in the same availability zone as this process.
    pub same_zone: bool,
    /// Whether it was recently silent or unreachable.
    pub avoided: bool,
    /// Whether this request was sent to it before.
    pub tried: bool,
    /// Work of this process at the endpoint, in requests, or in tokens where these are the scarce
    /// resource.
    pub own_work: f64,
    /// Work of other processes by the endpoint's last response, in the same unit, and the age of
    /// that response.
    pub other_work: Option<(f64, Duration)>,
    /// Work that the request adds, in the same unit.
    pub added_work: f64,
    /// Capacity of the endpoint, in the same unit.
    pub capacity: f64,
    /// Share of recent attempts that failed, from 0 to 1.
    pub failure_ratio: f64,
    /// Average response time; none before the first response.
    pub response_time: Option<Duration>,
}

impl EndpointOption {
    /// Returns the share of the capacity that would be in use with the request.
    pub fn fill(&self) -> f64 {
        let other_work = self.other_work.map_or(0.0, |(work, age)| {
            work * (1.0 - age.as_secs_f64() / MAX_LOAD_AGE.as_secs_f64()).max(0.0)
        });
        (self.own_work + other_work + self.added_work) / self.capacity.max(1.0)
    }

    /// Returns the cost factor for its zone and its failures.
    pub fn penalty(&self) -> f64 {
        self.zone_factor() * self.failure_factor()
    }

    fn zone_factor(&self) -> f64 {
        if self.same_zone {
            1.0
        } else {
            OTHER_ZONE_COST_RATIO
        }
    }

    fn failure_factor(&self) -> f64 {
        1.0 + FAILURE_COST_RATIO * self.failure_ratio
    }

    /// Returns the cost of choosing the endpoint, in seconds: its response time weighted by its fill,
    /// its zone and its failures.
    pub fn cost(&self) -> f64 {
        let response_s = self
            .response_time
            .unwrap_or(INITIAL_RESPONSE_TIME)
            .as_secs_f64();
        let avoided = if self.avoided { AVOIDED_COST_S } else { 0.0 };
        let tried = if self.tried { TRIED_COST_S } else { 0.0 };
        self.fill() * response_s * self.zone_factor() * self.failure_factor() + avoided + tried
    }
}

/// Chooses the endpoint of the lowest cost; `tie_break` rotates the options, so that requests spread over
/// equal ones.
///
/// Returns `None` if there are no options.
pub fn choose_endpoint(options: &[EndpointOption], tie_break: usize) -> Option<EndpointOption> {
    let count = options.len();
    let rotated = (0..count).map(|i| options[(i + tie_break) % count]);
    rotated.min_by(|a, b| a.cost().total_cmp(&b.cost()))
}
