use {
    super::{endpoint_view::EndpointView, grant_table::GrantTable, waiter::Waiter},
    crate::{
        board::{Blackboard, Endpoint, Fleet, Members, Owners, Role, Tick},
        decide::{
            EndpointLoad, GrantNeed, GrantOption, Standing, choose_decode, choose_prefill,
            choose_service,
        },
        key::{EndpointKey, PoolKey},
        port::GrantRequest,
    },
    slotmap::SecondaryMap,
    std::{sync::Arc, time::Duration},
};

/// Snapshots of the blackboard that one round of granting works on.
#[derive(Debug)]
pub(super) struct QueueSnapshot {
    /// Endpoints and pools.
    pub(super) fleet: Arc<Fleet>,
    owners: Arc<Owners>,
    members: Arc<Members>,
}

impl QueueSnapshot {
    /// Takes the current snapshots.
    pub(super) fn new(board: &Blackboard) -> Self {
        Self {
            fleet: board.fleet.snapshot(),
            owners: board.owners.snapshot(),
            members: board.members.snapshot(),
        }
    }

    /// Returns whether this host owns the endpoint.
    pub(super) fn owns(&self, key: EndpointKey) -> bool {
        let ownership = self.owners.by_endpoint.get(key);
        ownership.is_some_and(|ownership| ownership.owner == self.members.own)
    }

    /// Returns the endpoints of a pool that this host owns and that suit `request`.
    pub(super) fn usable(
        &self,
        pool: PoolKey,
        request: &GrantRequest,
    ) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let members = self.fleet.pools.get(pool).map(|pool| pool.members.iter());
        let endpoints = members.into_iter().flatten().filter_map(|key| {
            let endpoint = self.fleet.endpoints.get(*key)?;
            Some((*key, endpoint))
        });
        endpoints.filter(move |(key, endpoint)| request.may_run_at(endpoint) && self.owns(*key))
    }

    /// Returns whether any endpoint here may serve the request, now or later.
    ///
    /// A draining endpoint does not count; an ejected one counts while it is probed.
    pub(super) fn may_serve(
        &self,
        pool: PoolKey,
        request: &GrantRequest,
        views: &SecondaryMap<EndpointKey, EndpointView>,
        now: Tick,
    ) -> bool {
        let is_open = |key: EndpointKey| {
            let view = views.get(key);
            view.is_none_or(|view| {
                !view.draining && view.outlier.standing(now) != Standing::Ejected
            })
        };
        self.usable(pool, request).any(|(key, _)| is_open(key))
    }

    /// Chooses the endpoint for a waiting request and the pieces to grant there; `None` if none
    /// fits.
    pub(super) fn choose(
        &self,
        waiter: &Waiter,
        views: &SecondaryMap<EndpointKey, EndpointView>,
        grants: &GrantTable,
        now: Tick,
    ) -> Option<(GrantOption, u32)> {
        let request = &waiter.request;
        let mut candidates = Vec::new();
        let mut max_limit = 0;
        for (key, endpoint) in self.usable(waiter.pool, request) {
            let Some(view) = views.get(key) else {
                continue;
            };
            if let Some(candidate) = candidate(key, endpoint, view, request, grants, now) {
                candidates.push(candidate);
            }
            max_limit = max_limit.max(grant_limit(endpoint));
        }
        // An estimate above the memory of every endpoint would otherwise wait forever.
        let pieces = request.pieces.clamp(1, max_limit.max(1));
        let need = GrantNeed {
            pieces: if request.role == Role::Service {
                1
            } else {
                pieces
            },
            prompt: request.prompt_tokens,
            per_token: reachable_target(&candidates, request.per_token),
        };
        let chosen = match request.role {
            Role::Prefill => choose_prefill(&candidates, &need),
            Role::Decode => choose_decode(&candidates, &need),
            Role::Service => choose_service(&candidates, &need),
        };
        chosen.map(|candidate| (candidate, need.pieces))
    }
}

/// Most pieces, or calls at a service, that may be granted at an endpoint.
pub(super) fn grant_limit(endpoint: &Endpoint) -> u32 {
    match endpoint.role {
        Role::Prefill | Role::Decode => endpoint.pieces,
        Role::Service => endpoint.slots,
    }
}

/// Describes an endpoint for the choice; `None` if it may not be granted at present.
fn candidate(
    key: EndpointKey,
    endpoint: &Endpoint,
    view: &EndpointView,
    request: &GrantRequest,
    grants: &GrantTable,
    now: Tick,
) -> Option<GrantOption> {
    if view.draining || !view.is_ready(now) {
        return None;
    }
    let granted = GrantedWork::new(key, grants);
    if request.suspect && granted.suspect {
        return None;
    }
    let load = EndpointLoad {
        endpoint: key,
        role: endpoint.role,
        free: grant_limit(endpoint).saturating_sub(endpoint.counters.granted()),
        running: endpoint.counters.running(),
        computing: granted.computing,
        exporting: granted.exporting,
        backlog: granted.remaining(now),
        cached: view.cached_tokens(&request.prefixes, request.prompt_tokens),
        standing: view.outlier.standing(now),
        service_fit: view.fit,
    };
    load.grant_option(request.prompt_tokens)
}

/// Sum of the work granted at one endpoint.
#[derive(Debug, Default)]
struct GrantedWork {
    /// Prompts not yet computed.
    computing: u32,
    /// Grants without a prompt to compute, such as KV caches held for their handover.
    exporting: u32,
    /// Whether one of the requests may have crashed an endpoint.
    suspect: bool,
    /// When the earliest grant with a prompt to compute was made.
    start: Option<Tick>,
    /// Predicted time to compute all the prompts.
    total: Duration,
}

impl GrantedWork {
    /// Adds up the grants of an endpoint.
    fn new(key: EndpointKey, grants: &GrantTable) -> Self {
        let mut granted = Self::default();
        for entry in grants.iter().filter(|entry| entry.endpoint == key) {
            granted.suspect |= entry.suspect;
            if entry.prefill_time.is_zero() {
                granted.exporting += 1;
                continue;
            }
            granted.computing += 1;
            granted.total += entry.prefill_time;
            granted.start = Some(
                granted
                    .start
                    .map_or(entry.granted_at, |start| start.min(entry.granted_at)),
            );
        }
        granted
    }

    /// Returns the predicted time until the granted prompts are computed.
    fn remaining(&self, now: Tick) -> Duration {
        let elapsed = self.start.map_or(Duration::ZERO, |start| now.since(start));
        self.total.saturating_sub(elapsed)
    }
}

/// Returns the target for the time between tokens, or `None` if it cannot be met.
///
/// It cannot be met if every candidate is idle and its predicted time still above the target.
fn reachable_target(candidates: &[GrantOption], target: Duration) -> Option<Duration> {
    let is_met = |candidate: &GrantOption| candidate.unit_time <= target || candidate.running > 0;
    candidates.iter().any(is_met).then_some(target)
}
