use {
    super::{
        EndpointHold, EndpointNeed, ForwardCall, ForwardLog, ForwardParts, ForwardShared,
        PlacementHold, Refused, ReservationHold, forward_refusal,
    },
    crate::{
        board::{Endpoint, Role, Tick},
        decide::WaitBudget,
        key::name_hash,
        port::{Clock, PlacementOutcome, PlacementRequest, Placer, StatedLimit},
    },
};

/// Maximum requests of this daemon at one prefill endpoint while no daemon places requests.
const MAX_OWN_PREFILLS: u32 = 1;

/// Endpoints at which one attempt of a stream runs, and what it holds there.
#[derive(Debug)]
pub struct StreamPlacement<P>
where
    P: ForwardParts,
{
    /// Endpoint that decodes.
    pub decode: EndpointHold,
    /// Memory reserved at that endpoint; present only if no daemon placed the request.
    pub reservation: Option<ReservationHold<P>>,
    /// Placement of the attempt.
    pub placement: PlacementHold<P>,
    /// Endpoint that computes the prompt; `None` if the decode endpoint prefills locally.
    pub prefill: Option<EndpointHold>,
}

/// Search for the endpoints of one attempt of a stream.
#[derive(Debug)]
pub struct PlacementSearch<'a, P>
where
    P: ForwardParts,
{
    shared: &'a ForwardShared<P>,
    call: &'a mut ForwardCall,
}

impl<'a, P> PlacementSearch<'a, P>
where
    P: ForwardParts,
{
    /// Prepares the search for an attempt of `call`.
    pub fn new(shared: &'a ForwardShared<P>, call: &'a mut ForwardCall) -> Self {
        Self { shared, call }
    }

    /// Finds an endpoint to decode and one to prefill, and waits for both while the response can
    /// still meet its target time.
    ///
    /// With `local`, and where no prefill endpoint is free, the decode endpoint prefills locally.
    ///
    /// # Errors
    ///
    /// Refuses the request if the pool has no decode endpoint or none becomes free in time.
    pub async fn find(self, local: bool) -> Result<StreamPlacement<P>, Refused> {
        let until = self.shared.now() + WaitBudget::of(self.call.route.target).placement;
        let mut unknown = Vec::new();
        let mut requests = 0;
        let placer = self.shared.parts().placer();
        if let Some(left) = placer.refused(&self.call.pool, &self.call.causes) {
            return Err(forward_refusal::crash_suspect(self.call, left));
        }
        loop {
            let pool = &self.call.pool;
            if let Some(pause) = EndpointHold::pool_pause(self.shared, pool, Role::Decode) {
                return Err(forward_refusal::paused(self.call, pause));
            }
            requests += 1;
            // Each placement request has its own id: the end of one must not release the next.
            let id = self.shared.unique();
            let request = self.placement_request(id, local, &unknown);
            match placer.place(request).await {
                PlacementOutcome::Placed {
                    decode,
                    prefill,
                    suspect,
                } => {
                    self.call.suspect |= suspect;
                    match self.assign(id, &decode, prefill.as_deref()) {
                        Ok(placement) => return Ok(placement),
                        Err(name) => unknown.push(name),
                    }
                }
                PlacementOutcome::Wait => {}
                PlacementOutcome::Limited(wait) => {
                    // Others wait for the same slots, so the first one is soon taken.
                    let wait = wait.max(self.shared.options().full_after);
                    return Err(forward_refusal::paused(self.call, wait));
                }
                PlacementOutcome::Refused(left) => {
                    return Err(forward_refusal::crash_suspect(self.call, left));
                }
                // Endpoints are about to be listed, and the daemons that place requests start as well.
                PlacementOutcome::Unavailable if self.shared.board().is_starting() => {
                    let wait = self.shared.options().prefill_wait;
                    self.shared.parts().clock().sleep(wait).await;
                }
                PlacementOutcome::Unavailable => {
                    return self.place_without_placer(local, until).await;
                }
            }
            if self.shared.now() >= until {
                ForwardLog::new(self.shared, self.call).no_placement(id, requests);
                return Err(forward_refusal::full(self.shared, self.call));
            }
        }
    }

    /// Builds placement request `id`, which excludes engines that are `unknown` to this daemon.
    fn placement_request(&self, id: u64, local: bool, unknown: &[String]) -> PlacementRequest {
        let size = self.call.request.token_counts.unwrap_or_default();
        let now = self.shared.now();
        let fleet = self.shared.board().fleet.load();
        let tried = self.call.tried.iter();
        let tried = tried.filter_map(|key| fleet.endpoints.get(*key));
        // Those of other pools concern other requests.
        let pool = fleet.pools.find(&self.call.pool);
        let members = pool.and_then(|pool| fleet.pools.get(pool));
        let members = members.map_or(&[][..], |pool| &pool.members);
        let endpoints = || members.iter().filter_map(|key| fleet.endpoints.get(*key));
        let unwilling = endpoints().filter(|endpoint| {
            let traffic = &endpoint.counters.traffic;
            traffic.is_leaving() || !traffic.pause_left(now).is_zero()
        });
        let unreachable = endpoints().filter(|endpoint| endpoint.counters.traffic.is_avoided(now));
        let organisation = self.call.organisation.as_ref();
        PlacementRequest {
            id,
            pool: self.call.pool.clone(),
            prompt_tokens: size.prompt,
            output_tokens: size.expected_memory().saturating_sub(size.prompt),
            late: self.call.late,
            waited: now - self.call.arrived,
            target: self.call.route.target,
            priority: self.call.priority,
            organisation: organisation.map(|organisation| name_hash(&organisation.name)),
            remote_prefill: !local,
            avoid: tried
                .chain(unwilling)
                .map(|endpoint| &endpoint.name)
                .chain(unknown)
                .cloned()
                .collect(),
            unreachable: unreachable.map(|endpoint| endpoint.name.clone()).collect(),
            causes: self.call.causes.clone(),
            limits: endpoints()
                .filter_map(|endpoint| stated_limit(endpoint, now))
                .collect(),
        }
    }

    /// Assigns the attempt to the endpoints of placement `id`, by name.
    ///
    /// # Errors
    ///
    /// Returns the first name that this daemon does not know with the role that is needed: a daemon
    /// that cannot reach the store knows only the endpoints that it read before.
    fn assign(
        &self,
        id: u64,
        decode: &str,
        prefill: Option<&str>,
    ) -> Result<StreamPlacement<P>, String> {
        let size = self.call.request.token_counts.unwrap_or_default();
        let placement = PlacementHold::new(self.shared, self.call, id, decode);
        ForwardLog::new(self.shared, self.call).placed(id, decode, prefill);
        let find = |role, tokens: u64, name: &str| {
            let need = EndpointNeed {
                pool: &self.call.pool,
                role,
                tokens: tokens.max(1),
                tried: &self.call.tried,
            };
            EndpointHold::by_name(self.shared, &need, name).ok_or_else(|| {
                ForwardLog::new(self.shared, self.call).unknown_endpoint(name, role);
                name.to_owned()
            })
        };
        let decode = find(Role::Decode, size.expected_memory(), decode)?;
        let prefill = prefill.map(|name| find(Role::Prefill, size.prompt, name));
        Ok(StreamPlacement {
            decode,
            reservation: None,
            placement,
            prefill: prefill.transpose()?,
        })
    }

    /// Places the attempt from the state of this daemon alone, while no daemon places requests.
    async fn place_without_placer(
        &self,
        local: bool,
        until: Tick,
    ) -> Result<StreamPlacement<P>, Refused> {
        let options = self.shared.options();
        let prefill_until = self.shared.now() + options.remote_wait;
        loop {
            let prefill = if local { None } else { self.prefill_endpoint() };
            let now = self.shared.now();
            if (local || prefill.is_some() || now >= prefill_until)
                && let Some((decode, reservation)) = self.reserve_decode().await?
            {
                let id = self.shared.unique();
                let placement = PlacementHold::new(self.shared, self.call, id, &decode.name);
                return Ok(StreamPlacement {
                    decode,
                    reservation: Some(reservation),
                    placement,
                    prefill,
                });
            }
            if now >= until {
                return Err(forward_refusal::full(self.shared, self.call));
            }
            let wait = if prefill.is_some() {
                options.reserve_wait
            } else {
                options.prefill_wait
            };
            drop(prefill);
            self.shared.parts().clock().sleep(wait).await;
        }
    }

    /// Chooses a prefill endpoint with a short queue; `None` if the best one is avoided or busy.
    fn prefill_endpoint(&self) -> Option<EndpointHold> {
        let need = EndpointNeed {
            pool: &self.call.pool,
            role: Role::Prefill,
            tokens: self
                .call
                .request
                .token_counts
                .unwrap_or_default()
                .prompt
                .max(1),
            tried: &[],
        };
        let hold = EndpointHold::choose(self.shared, &need)?;
        (!hold.option.avoided && hold.running() <= MAX_OWN_PREFILLS).then_some(hold)
    }

    /// Reserves memory at a decode endpoint, best first; `None` if all of them refuse.
    async fn reserve_decode(&self) -> Result<Option<(EndpointHold, ReservationHold<P>)>, Refused> {
        let size = self.call.request.token_counts.unwrap_or_default();
        let tokens = size.expected_memory().max(1);
        let mut tried = self.call.tried.clone();
        loop {
            let need = EndpointNeed {
                pool: &self.call.pool,
                role: Role::Decode,
                tokens,
                tried: &tried,
            };
            let hold = EndpointHold::choose(self.shared, &need);
            let hold = hold.ok_or_else(|| {
                forward_refusal::no_endpoint(self.shared, self.call, Role::Decode)
            })?;
            if hold.option.tried {
                return Ok(None);
            }
            ForwardLog::new(self.shared, self.call).chosen(&hold, "decode");
            tried.push(hold.key);
            if let Some(reservation) = ReservationHold::take(self.shared, self.call, &hold).await {
                return Ok(Some((hold, reservation)));
            }
        }
    }
}

/// Returns the limit that `endpoint` stated or ended; `None` if it never stated one.
fn stated_limit(endpoint: &Endpoint, now: Tick) -> Option<StatedLimit> {
    let traffic = &endpoint.counters.traffic;
    Some(StatedLimit {
        engine: endpoint.name.clone(),
        incarnation: traffic.incarnation(),
        rate: traffic.limit.rate(),
        age: traffic.limit.age(now)?,
    })
}
