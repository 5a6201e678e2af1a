use {crate::key::EndpointKey, std::time::Duration};

/// Cost factor of an endpoint in another availability zone, so that equal endpoints are used near.
const FAR: f64 = 1.05;

/// Cost factor of an endpoint whose every attempt fails, less one.
const FAILING: f64 = 8.0;

/// Cost added to an endpoint that is avoided; above every cost of an endpoint that is not.
const AVOIDED: f64 = 1e9;

/// Cost added to an endpoint that the request has been sent to; above that of an avoided one.
const TRIED: f64 = 1e12;

/// Time for which an endpoint's word on the load of others is worth something.
const LOAD_AGE: Duration = Duration::from_secs(2);

/// Usual time of an endpoint that has not answered yet.
const UNKNOWN_TIME: Duration = Duration::from_millis(20);

/// What is known of one endpoint that may run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOption {
    /// The endpoint.
    pub key: EndpointKey,
    /// Whether it is in the own availability zone.
    pub near: bool,
    /// Whether it was silent or unreachable a moment ago.
    pub avoided: bool,
    /// Whether this request has been sent to it.
    pub tried: bool,
    /// Work of this process at the endpoint: requests, or tokens where they are what is scarce.
    pub own: f64,
    /// Work of others by the endpoint's last answer, and the age of that.
    pub others: Option<(f64, Duration)>,
    /// Work that the request adds.
    pub adds: f64,
    /// Work that the endpoint holds at once.
    pub room: f64,
    /// Share of attempts that failed lately.
    pub failing: f64,
    /// Usual time to an answer.
    pub usual: Option<Duration>,
}

impl EndpointOption {
    /// Share of the endpoint's room that would be in use with the request.
    pub fn fill(&self) -> f64 {
        let others = self.others.map_or(0.0, |(work, age)| {
            work * (1.0 - age.as_secs_f64() / LOAD_AGE.as_secs_f64()).max(0.0)
        });
        (self.own + others + self.adds) / self.room.max(1.0)
    }

    /// Cost of choosing the endpoint: its fill weighted by its speed and its failures.
    pub fn cost(&self) -> f64 {
        let near = if self.near { 1.0 } else { FAR };
        let failing = 1.0 + FAILING * self.failing;
        let usual = self.usual.unwrap_or(UNKNOWN_TIME).as_secs_f64();
        let avoided = if self.avoided { AVOIDED } else { 0.0 };
        let tried = if self.tried { TRIED } else { 0.0 };
        self.fill() * usual * near * failing + avoided + tried
    }
}

/// Chooses the cheapest endpoint; `tie` spreads equal ones.
pub fn choose_endpoint(options: &[EndpointOption], tie: usize) -> Option<EndpointOption> {
    let count = options.len();
    let rotated = (0..count).map(|i| options[(i + tie) % count]);
    rotated.min_by(|a, b| a.cost().total_cmp(&b.cost()))
}
