use {
    super::{endpoint_view::EndpointView, grant_table::GrantTable, waiter::Waiter},
    crate::{
        board::{Blackboard, Endpoint, Fleet, Members, Owners, Role, Tick},
        decide::{Need, Place, Standing, choose_decode, choose_prefill, choose_service},
        key::{EndpointKey, PoolKey},
        port::GrantAsk,
    },
    slotmap::SecondaryMap,
    std::{sync::Arc, time::Duration},
};

/// Prompts that a prefill endpoint may hold at once: one computed and one waiting behind it.
const PREFILL_DEPTH: usize = 2;

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

    /// Returns the endpoints of a pool that may be granted here.
    pub(super) fn usable(
        &self,
        pool: PoolKey,
        role: Role,
    ) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let members = self.fleet.pools.get(pool).map(|pool| pool.members.iter());
        let endpoints = members.into_iter().flatten().filter_map(|key| {
            let endpoint = self.fleet.endpoints.get(*key)?;
            Some((*key, endpoint))
        });
        endpoints.filter(move |(key, endpoint)| {
            endpoint.role == role && !endpoint.leaving && self.owns(*key)
        })
    }

    /// Whether the ask may be served here at all.
    pub(super) fn may_serve(&self, pool: PoolKey, ask: &GrantAsk) -> bool {
        self.usable(pool, ask.role)
            .any(|(_, endpoint)| !ask.avoid.contains(&endpoint.name))
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
        let allowed = self
            .usable(waiter.pool, ask.role)
            .filter(|(_, endpoint)| !ask.avoid.contains(&endpoint.name));
        let mut places = Vec::new();
        let mut room = 0;
        for (key, endpoint) in allowed {
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
    let running = endpoint.slot.running();
    let standing = view.outlier.standing(now);
    let closed = match standing {
        Standing::In => false,
        Standing::Out => true,
        Standing::Probe => running > 0,
    };
    if closed || view.leaving || !view.is_ready(now) {
        return None;
    }
    if ask.suspect
        && grants
            .iter()
            .any(|entry| entry.suspect && entry.endpoint == key)
    {
        return None;
    }
    let cached = view.cached(&ask.prefixes, ask.prompt_tokens);
    let prefill = endpoint.role == Role::Prefill;
    let held = grants.iter().filter(|entry| entry.endpoint == key);
    let computing = held.filter(|entry| entry.work > Duration::ZERO).count();
    if prefill && computing >= PREFILL_DEPTH {
        return None;
    }
    let uncached = ask.prompt_tokens.saturating_sub(cached).max(1);
    let unit = match endpoint.role {
        Role::Prefill => view.fit.predict(f64::from(uncached)) / uncached,
        Role::Decode => view.fit.predict(f64::from(running + 1)),
        Role::Service => view.fit.predict(1.0),
    };
    Some(Place {
        endpoint: key,
        free: limit(endpoint).saturating_sub(endpoint.slot.granted()),
        running,
        backlog: if prefill {
            backlog(key, grants, now)
        } else {
            Duration::ZERO
        },
        cached,
        unit,
        probe: standing == Standing::Probe,
    })
}

/// Predicted time until a prefill endpoint has finished what it was granted.
fn backlog(key: EndpointKey, grants: &GrantTable, now: Tick) -> Duration {
    let held = grants.iter().filter(|entry| entry.endpoint == key);
    let (start, work) = held.fold((now, Duration::ZERO), |(start, work), entry| {
        (start.min(entry.since), work + entry.work)
    });
    work.saturating_sub(now.since(start))
}

/// Returns the target if at least one idle endpoint could meet it.
fn reachable(places: &[Place], target: Duration) -> Option<Duration> {
    let met = |place: &Place| place.unit <= target || place.running > 0;
    places.iter().any(met).then_some(target)
}
