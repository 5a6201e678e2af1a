use {
    super::{
        AccessKeys, Arena, DeclaredOrganisation, Organisation, OrganisationFault, OrganisationList,
        Repeat,
    },
    crate::key::{OrganisationKey, RouteKey},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
};

/// Maximum number of faults that are kept of one configuration, so that a large one with an error in every
/// entry stays small in memory and in messages.
const MAX_FAULTS: usize = 64;

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
    /// Most urgent priority of the routes of each pool of engines whose routes have several priorities, by the
    /// name of the pool.
    pub urgent: HashMap<String, u8>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Organisations by name; their keys are valid within this version only.
    pub organisations: Arena<OrganisationKey, Organisation>,
    /// Access keys of the organisations; `None` if the configuration declares no organisations, so that no
    /// request needs a key.
    pub access: Option<AccessKeys>,
    /// What is wrong with the configuration of the organisations, at most 64 faults.
    pub faults: Vec<OrganisationFault>,
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
    /// Whether requests need no access key.
    pub public: bool,
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
    organisations: Option<OrganisationList>,
}

impl From<RoutingParts> for Routing {
    fn from(parts: RoutingParts) -> Self {
        let routing = Self::new(parts.version, parts.routes, parts.pools, parts.limits);
        match parts.organisations {
            Some(organisations) => routing.with_organisations(organisations),
            None => routing,
        }
    }
}

impl From<Routing> for RoutingParts {
    fn from(routing: Routing) -> Self {
        let organisations = routing.organisation_list();
        let routes = routing.routes.iter();
        Self {
            organisations,
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
        routing.urgent = urgent_priorities(&routing);
        let routes = &routing.routes;
        for keys in routing.by_host.values_mut() {
            let length = |key: &RouteKey| routes.get(*key).map_or(0, |route| route.prefix.len());
            keys.sort_by_key(|key| std::cmp::Reverse(length(key)));
        }
        routing
    }

    /// Adds the organisations, after which requests need an access key. Of organisations with the same name
    /// or the same key, the first one counts; `faults` names both.
    #[must_use]
    pub fn with_organisations(mut self, list: OrganisationList) -> Self {
        let mut digests = Vec::new();
        let mut repeated = Vec::new();
        for entry in list.entries {
            let name = entry.organisation.name.clone();
            let key = if let Some(key) = self.organisations.find(&name) {
                repeated.push(OrganisationFault::Repeated(name));
                key
            } else {
                self.organisations.insert(&name, entry.organisation)
            };
            digests.extend(entry.digests.into_iter().map(|digest| (digest, key)));
        }
        let (access, pairs) = AccessKeys::new(list.salt, digests);
        let name = |key| self.organisations.get(key).map(|found| found.name.clone());
        let shared = pairs.into_iter().filter(|(first, second)| first != second);
        let shared = shared.filter_map(|(first, second)| {
            Some(OrganisationFault::SharedKey(name(first)?, name(second)?))
        });
        let organisations = self.organisations.iter();
        let without = organisations.filter(|(key, _)| access.of(*key).next().is_none());
        let without = without.map(|(_, found)| OrganisationFault::NoKeys(found.name.clone()));
        // Shared keys come first: the log names the first faults only, and these concern two organisations.
        for fault in shared.chain(list.faults).chain(repeated).chain(without) {
            // A daemon that passed the configuration on may have found the same.
            if self.faults.len() < MAX_FAULTS && !self.faults.contains(&fault) {
                self.faults.push(fault);
            }
        }
        self.access = Some(access);
        self
    }

    /// Returns the organisation that the access key `key` belongs to, or `None` if it is unknown.
    pub fn authenticate(&self, key: &str) -> Option<OrganisationKey> {
        self.access.as_ref()?.find(key)
    }

    /// Returns the organisations in the form in which daemons exchange them.
    fn organisation_list(&self) -> Option<OrganisationList> {
        let access = self.access.as_ref()?;
        let entries = self.organisations.iter();
        let entries = entries.map(|(key, organisation)| DeclaredOrganisation {
            organisation: organisation.clone(),
            digests: access.of(key).collect(),
        });
        Some(OrganisationList {
            salt: access.salt(),
            entries: entries.collect(),
            faults: self.faults.clone(),
        })
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

/// Returns the most urgent priority of the routes of each pool of engines that has several.
fn urgent_priorities(routing: &Routing) -> HashMap<String, u8> {
    let mut ranges: HashMap<&str, (u8, u8)> = HashMap::new();
    for (_, route) in routing.routes.iter() {
        for (pool, _) in &route.pools {
            let range = ranges.entry(pool.as_str());
            let (least, greatest) = range.or_insert((route.priority, route.priority));
            *least = route.priority.min(*least);
            *greatest = route.priority.max(*greatest);
        }
    }
    let has_engines = |pool: &str| routing.pools.get(pool).is_some_and(|pool| pool.has_engines);
    let several = ranges.into_iter();
    several
        .filter(|(pool, (least, greatest))| least < greatest && has_engines(pool))
        .map(|(pool, (least, _))| (pool.to_owned(), least))
        .collect()
}
