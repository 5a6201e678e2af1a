use {
    super::{endpoint_view::EndpointView, grant_table::GrantTable, waiter::Waiter},
    crate::{
        board::{Blackboard, Endpoint, Fleet, Members, Owners, Role, Tick},
        decide::{
            EndpointLoad, Need, Place, Standing, choose_decode, choose_prefill, choose_service,
        },
        key::{EndpointKey, PoolKey},
        port::GrantAsk,
    },
    slotmap::SecondaryMap,
    std::{sync::Arc, time::Duration},
};

/// Snapshots that one round of granting works on.
#[derive(Debug)]
pub(super) struct LinePlaces {
    pub(super) fleet: Arc<Fleet>,
    owners: Arc<Owners>,
    members: Arc<Members>,
}

impl LinePlaces {
    /// Takes the current snapshots.
    pub(super) fn new(board: &Blackboard) -> Self {
        Self {
            fleet: board.fleet.snapshot(),
            owners: board.owners.snapshot(),
            members: board.members.snapshot(),
        }
    }

    /// Whether this host owns the endpoint.
    pub(super) fn owns(&self, key: EndpointKey) -> bool {
        let ownership = self.owners.by_endpoint.get(key);
        ownership.is_some_and(|ownership| ownership.owner == self.members.own)
    }

    /// Returns the endpoints of a pool that may be granted here to `ask`.
    pub(super) fn usable(
        &self,
        pool: PoolKey,
        ask: &GrantAsk,
    ) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let members = self.fleet.pools.get(pool).map(|pool| pool.members.iter());
        let endpoints = members.into_iter().flatten().filter_map(|key| {
            let endpoint = self.fleet.endpoints.get(*key)?;
            Some((*key, endpoint))
        });
        endpoints.filter(move |(key, endpoint)| ask.suits(endpoint) && self.owns(*key))
    }

    /// Whether the ask may be served here at all; an ejected endpoint counts while it is probed.
    pub(super) fn may_serve(
        &self,
        pool: PoolKey,
        ask: &GrantAsk,
        views: &SecondaryMap<EndpointKey, EndpointView>,
        now: Tick,
    ) -> bool {
        let open = |key: EndpointKey| {
            let view = views.get(key);
            view.is_none_or(|view| !view.leaving && view.outlier.standing(now) != Standing::Out)
        };
        self.usable(pool, ask).any(|(key, _)| open(key))
    }

    /// Chooses the endpoint for a waiter and the pieces that it takes there.
    pub(super) fn choose(
        &self,
        waiter: &Waiter,
        views: &SecondaryMap<EndpointKey, EndpointView>,
        grants: &GrantTable,
        now: Tick,
    ) -> Option<(Place, u32)> {
        let ask = &waiter.ask;
        let mut places = Vec::new();
        let mut room = 0;
        for (key, endpoint) in self.usable(waiter.pool, ask) {
            let Some(view) = views.get(key) else {
                continue;
            };
            if let Some(place) = place(key, endpoint, view, ask, grants, now) {
                places.push(place);
            }
            room = room.max(limit(endpoint));
        }
        // An estimate beyond the whole memory must not wait for ever.
        let pieces = ask.pieces.clamp(1, room.max(1));
        let need = Need {
            pieces: if ask.role == Role::Service { 1 } else { pieces },
            prompt: ask.prompt_tokens,
            per_token: reachable(&places, ask.per_token),
        };
        let chosen = match ask.role {
            Role::Prefill => choose_prefill(&places, &need),
            Role::Decode => choose_decode(&places, &need),
            Role::Service => choose_service(&places, &need),
        };
        chosen.map(|place| (place, need.pieces))
    }
}

/// Pieces or calls that an endpoint may hold.
pub(super) fn limit(endpoint: &Endpoint) -> u32 {
    match endpoint.role {
        Role::Prefill | Role::Decode => endpoint.pieces,
        Role::Service => endpoint.slots,
    }
}

/// Describes an endpoint to the choice; nothing if it takes no more work now.
fn place(
    key: EndpointKey,
    endpoint: &Endpoint,
    view: &EndpointView,
    ask: &GrantAsk,
    grants: &GrantTable,
    now: Tick,
) -> Option<Place> {
    if view.leaving || !view.is_ready(now) {
        return None;
    }
    let work = GrantedWork::new(key, grants);
    if ask.suspect && work.suspect {
        return None;
    }
    let load = EndpointLoad {
        endpoint: key,
        role: endpoint.role,
        free: limit(endpoint).saturating_sub(endpoint.slot.granted()),
        running: endpoint.slot.running(),
        computing: work.computing,
        exporting: work.exporting,
        backlog: work.left(now),
        cached: view.cached(&ask.prefixes, ask.prompt_tokens),
        standing: view.outlier.standing(now),
        fit: view.fit,
    };
    load.place(ask.prompt_tokens)
}

/// Work granted at one endpoint.
#[derive(Debug, Default)]
struct GrantedWork {
    computing: u32,
    exporting: u32,
    suspect: bool,
    start: Option<Tick>,
    total: Duration,
}

impl GrantedWork {
    /// Adds up the grants of an endpoint.
    fn new(key: EndpointKey, grants: &GrantTable) -> Self {
        let mut work = Self::default();
        for entry in grants.iter().filter(|entry| entry.endpoint == key) {
            work.suspect |= entry.suspect;
            if entry.work.is_zero() {
                work.exporting += 1;
                continue;
            }
            work.computing += 1;
            work.total += entry.work;
            work.start = Some(
                work.start
                    .map_or(entry.since, |start| start.min(entry.since)),
            );
        }
        work
    }

    /// Predicted time until the granted prompts are computed.
    fn left(&self, now: Tick) -> Duration {
        let passed = self.start.map_or(Duration::ZERO, |start| now.since(start));
        self.total.saturating_sub(passed)
    }
}

/// Returns the target if at least one idle endpoint could meet it.
fn reachable(places: &[Place], target: Duration) -> Option<Duration> {
    let met = |place: &Place| place.unit <= target || place.running > 0;
    places.iter().any(met).then_some(target)
}
