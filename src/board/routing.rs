use {
    super::{Arena, Repeat},
    crate::key::RouteKey,
    std::{collections::HashMap, time::Duration},
};

/// The routes in force for forwarded requests, and what callers may send.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Version of the configuration; 0 while none is known.
    pub version: u64,
    /// Routes by name.
    pub routes: Arena<RouteKey, PathRoute>,
    /// Routes of each host name, longest prefix first.
    pub hosts: HashMap<String, Vec<RouteKey>>,
    /// Pools by name.
    pub pools: HashMap<String, PoolPlan>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// One route: which requests it takes and how they are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathRoute {
    /// Name.
    pub name: String,
    /// Host name that requests are sent to.
    pub host: String,
    /// Beginning of the paths; begins and ends with a slash.
    pub prefix: String,
    /// Pools and their weights.
    pub pools: Vec<(String, u32)>,
    /// How the answer comes.
    pub reply: ReplyKind,
    /// Whether an attempt with an unknown outcome may be repeated.
    pub repeat: Repeat,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Target time to the answer or to its first event.
    pub target: Duration,
    /// Greatest number of endpoints that may run one request.
    pub attempts: u16,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
}

/// How an answer comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyKind {
    /// In one piece.
    Whole,
    /// As a series of numbered events.
    Events,
}

/// What is configured for a pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolPlan {
    /// Tokens that the memory of one engine holds; 0 for plain services.
    pub memory_tokens: u64,
    /// Whether the pool consists of model engines.
    pub engines: bool,
    /// Tokens that one event of a stream carries at most.
    pub event_tokens: u32,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send the head.
    pub head_time: Duration,
    /// Time for which a connection may stay idle.
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

impl Routing {
    /// Builds the lookup structure over `routes`.
    pub fn new<I>(
        version: u64,
        routes: I,
        pools: HashMap<String, PoolPlan>,
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
            routing.hosts.entry(host).or_default().push(key);
        }
        let routes = &routing.routes;
        for keys in routing.hosts.values_mut() {
            let length = |key: &RouteKey| routes.get(*key).map_or(0, |route| route.prefix.len());
            keys.sort_by_key(|key| std::cmp::Reverse(length(key)));
        }
        routing
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<(RouteKey, &PathRoute)> {
        let keys = self.hosts.get(host)?;
        let mut routes = keys
            .iter()
            .filter_map(|key| Some((*key, self.routes.get(*key)?)));
        routes.find(|(_, route)| path.starts_with(&route.prefix))
    }
}
