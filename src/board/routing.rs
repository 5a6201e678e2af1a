use {
    super::{Arena, Repeat},
    crate::key::RouteKey,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
};

/// The routes in force for forwarded requests, and the limits on what callers send.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "RoutingParts", into = "RoutingParts")]
pub struct Routing {
    /// Version of the routing configuration; 0 while none is known.
    pub version: u64,
    /// Routes by name.
    pub routes: Arena<RouteKey, PathRoute>,
    /// Routes by HTTP host name, longest path prefix first.
    pub by_host: HashMap<String, Vec<RouteKey>>,
    /// Configuration of the pools by name.
    pub pools: HashMap<String, PoolConfig>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// One route: which requests it matches and how they are served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PathRoute {
    /// Unique name.
    pub name: String,
    /// HTTP host name of the requests.
    pub host: String,
    /// Path prefix of the requests; begins and ends with a slash.
    pub prefix: String,
    /// Names of the pools that serve the route, and the weight of each.
    pub pools: Vec<(String, u32)>,
    /// How the response is delivered.
    pub response: ResponseKind,
    /// Whether an attempt with an unknown outcome may be repeated.
    pub repeat: Repeat,
    /// Maximum time that a request is kept waiting.
    pub timeout: Duration,
    /// Target time from the arrival of a request to its response, or to the first event of a
    /// stream.
    pub target: Duration,
    /// Maximum number of endpoints that may run one request.
    pub attempts: u16,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
}

/// How a response is delivered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ResponseKind {
    /// As one complete body.
    Complete,
    /// As a stream of numbered events.
    Events,
}

/// Configuration of a pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolConfig {
    /// Memory of one engine in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Whether the pool consists of model engines.
    pub has_engines: bool,
    /// Number of tokens that one event of a stream carries.
    pub event_tokens: u32,
}

/// Limits on what a caller sends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head (request line and headers), in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to send the head.
    pub head_time: Duration,
    /// Maximum time that a connection stays idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A version names one configuration, which never changes.
impl PartialEq for Routing {
    fn eq(&self, other: &Self) -> bool {
        self.version == other.version
    }
}

/// What a routing is built from, in the form in which daemons exchange it.
#[derive(Deserialize, Serialize)]
struct RoutingParts {
    version: u64,
    routes: Vec<PathRoute>,
    pools: HashMap<String, PoolConfig>,
    limits: CallerLimits,
}

impl From<RoutingParts> for Routing {
    fn from(parts: RoutingParts) -> Self {
        Self::new(parts.version, parts.routes, parts.pools, parts.limits)
    }
}

impl From<Routing> for RoutingParts {
    fn from(routing: Routing) -> Self {
        let routes = routing.routes.iter();
        Self {
            version: routing.version,
            routes: routes.map(|(_, route)| route.clone()).collect(),
            pools: routing.pools,
            limits: routing.limits,
        }
    }
}

impl Routing {
    /// Builds the routing from `routes`, with their lookup by host name and prefix.
    pub fn new<I>(
        version: u64,
        routes: I,
        pools: HashMap<String, PoolConfig>,
        limits: CallerLimits,
    ) -> Self
    where
        I: IntoIterator<Item = PathRoute>,
    {
        let mut routing = Self {
            version,
            pools,
            limits,
            ..Self::default()
        };
        for route in routes {
            let host = route.host.clone();
            let name = route.name.clone();
            let key = routing.routes.insert(&name, route);
            routing.by_host.entry(host).or_default().push(key);
        }
        let routes = &routing.routes;
        for keys in routing.by_host.values_mut() {
            let length = |key: &RouteKey| routes.get(*key).map_or(0, |route| route.prefix.len());
            keys.sort_by_key(|key| std::cmp::Reverse(length(key)));
        }
        routing
    }

    /// Returns the route of `host` with the longest prefix of `path`, or `None` if no route
    /// matches.
    pub fn find(&self, host: &str, path: &str) -> Option<(RouteKey, &PathRoute)> {
        let keys = self.by_host.get(host)?;
        let mut routes = keys
            .iter()
            .filter_map(|key| Some((*key, self.routes.get(*key)?)));
        routes.find(|(_, route)| path.starts_with(&route.prefix))
    }
}
