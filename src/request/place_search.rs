use {
    super::{
        EndpointHold, EndpointNeed, ForwardCall, ForwardLog, ForwardParts, ForwardShared,
        PlaceHold, PlacementHold, Refused, forward_log::Next, forward_refusal,
    },
    crate::{
        board::{Role, Tick},
        port::{Clock, PlaceAsk, PlaceOutcome, Placer, Upstream, UpstreamError},
    },
    tokio::time::timeout,
};

/// Requests of this daemon at one endpoint that reads prompts, while no daemon places requests.
const OWN_LINE: u32 = 1;

/// Part of a stream's target time for which it may wait for a place.
const PLACE_SHARE: u32 = 2;

/// Where a stream is to run.
#[derive(Debug)]
pub struct Places<P>
where
    P: ForwardParts,
{
    /// Where it decodes.
    pub decode: EndpointHold,
    /// Place reserved there, if no daemon placed it.
    pub place: Option<PlaceHold<P>>,
    /// Place that a daemon keeps for it.
    pub placement: Option<PlacementHold<P>>,
    /// Where its prompt is read; none if that is where it decodes.
    pub prefill: Option<EndpointHold>,
}

/// The search of places for one attempt of a stream.
#[derive(Debug)]
pub struct PlaceSearch<'a, P>
where
    P: ForwardParts,
{
    shared: &'a ForwardShared<P>,
    call: &'a mut ForwardCall,
}

impl<'a, P> PlaceSearch<'a, P>
where
    P: ForwardParts,
{
    /// Searches for `call`.
    pub fn new(shared: &'a ForwardShared<P>, call: &'a mut ForwardCall) -> Self {
        Self { shared, call }
    }

    /// Finds a place to read the prompt and one to decode; waits for both while the answer can
    /// still be in time. A prompt that is `read`, or finds no place, is read where it decodes.
    pub async fn find(self, read: bool) -> Result<Places<P>, Refused> {
        let until = self.shared.now() + self.call.route.target / PLACE_SHARE;
        let mut unknown = Vec::new();
        let mut asks = 0;
        loop {
            asks += 1;
            // A number of its own for each ask: the end of one must not give back the next.
            let id = self.shared.unique();
            let ask = self.place_ask(id, read, &unknown);
            match self.shared.parts().placer().place(ask).await {
                PlaceOutcome::Placed {
                    decode,
                    prefill,
                    suspect,
                } => {
                    self.call.suspect |= suspect;
                    match self.placed(id, &decode, prefill.as_deref()) {
                        Ok(places) => return Ok(places),
                        Err(name) => unknown.push(name),
                    }
                }
                PlaceOutcome::Wait => {}
                PlaceOutcome::Absent => return self.own_places(read, until).await,
            }
            if self.shared.now() >= until {
                ForwardLog::new(self.shared, self.call).no_place(id, asks);
                return Err(forward_refusal::full(self.shared, self.call));
            }
        }
    }

    /// What is asked for; engines that are `unknown` here are no use.
    fn place_ask(&self, id: u64, read: bool, unknown: &[String]) -> PlaceAsk {
        let size = self.call.request.size.unwrap_or_default();
        let now = self.shared.now();
        let fleet = self.shared.board().fleet.load();
        let tried = self.call.tried.iter();
        let tried = tried.filter_map(|key| fleet.endpoints.get(*key));
        let endpoints = fleet.endpoints.iter().map(|(_, endpoint)| endpoint);
        let silent = endpoints.filter(|endpoint| endpoint.slot.traffic.is_avoided(now));
        PlaceAsk {
            id,
            pool: self.call.pool.clone(),
            prompt: size.prompt,
            output: size.expected().saturating_sub(size.prompt),
            late: self.call.late,
            waited: now - self.call.arrived,
            apart: !read,
            avoid: tried
                .map(|endpoint| &endpoint.name)
                .chain(unknown)
                .cloned()
                .collect(),
            silent: silent.map(|endpoint| endpoint.name.clone()).collect(),
            print: self.call.print,
        }
    }

    /// The places by name, or the name that is not known here with the role that it is needed for:
    /// a daemon that is cut off from the store knows old endpoints only.
    fn placed(&self, id: u64, decode: &str, prefill: Option<&str>) -> Result<Places<P>, String> {
        let size = self.call.request.size.unwrap_or_default();
        let placement = PlacementHold::new(self.shared, id, &self.call.pool);
        ForwardLog::new(self.shared, self.call).placed(id, decode, prefill);
        let find = |role, tokens: u64, name: &str| {
            let need = EndpointNeed {
                pool: &self.call.pool,
                role,
                tokens: tokens.max(1),
                tried: &self.call.tried,
            };
            EndpointHold::at(self.shared, &need, name).ok_or_else(|| {
                ForwardLog::new(self.shared, self.call).unknown(name, role);
                name.to_owned()
            })
        };
        let decode = find(Role::Decode, size.expected(), decode)?;
        let prefill = prefill.map(|name| find(Role::Prefill, size.prompt, name));
        Ok(Places {
            decode,
            place: None,
            placement: Some(placement),
            prefill: prefill.transpose()?,
        })
    }

    /// Finds places by what is known here alone, while no daemon places requests.
    async fn own_places(&self, read: bool, until: Tick) -> Result<Places<P>, Refused> {
        let options = self.shared.options();
        let alone = self.shared.now() + options.alone_wait;
        loop {
            let prefill = if read { None } else { self.prefill_place() };
            let now = self.shared.now();
            if (read || prefill.is_some() || now >= alone)
                && let Some((decode, place)) = self.free_place().await?
            {
                return Ok(Places {
                    decode,
                    place: Some(place),
                    placement: None,
                    prefill,
                });
            }
            if now >= until {
                return Err(forward_refusal::full(self.shared, self.call));
            }
            let wait = if prefill.is_some() {
                options.place_wait
            } else {
                options.line_wait
            };
            drop(prefill);
            self.shared.parts().clock().sleep(wait).await;
        }
    }

    /// A place at an endpoint that computes prompts and has a short line.
    fn prefill_place(&self) -> Option<EndpointHold> {
        let need = EndpointNeed {
            pool: &self.call.pool,
            role: Role::Prefill,
            tokens: self.call.request.size.unwrap_or_default().prompt.max(1),
            tried: &[],
        };
        let hold = EndpointHold::choose(self.shared, &need)?;
        (!hold.option.avoided && hold.running() <= OWN_LINE).then_some(hold)
    }

    /// Asks the endpoints that decode for a place, best first; nothing if every one is full.
    async fn free_place(&self) -> Result<Option<(EndpointHold, PlaceHold<P>)>, Refused> {
        let size = self.call.request.size.unwrap_or_default();
        let tokens = size.expected().max(1);
        let mut tried = self.call.tried.clone();
        loop {
            let need = EndpointNeed {
                pool: &self.call.pool,
                role: Role::Decode,
                tokens,
                tried: &tried,
            };
            let hold = EndpointHold::choose(self.shared, &need);
            let hold = hold.ok_or_else(|| forward_refusal::no_endpoint(self.shared, self.call))?;
            if hold.option.tried {
                return Ok(None);
            }
            ForwardLog::new(self.shared, self.call).chosen(&hold, "decode");
            tried.push(hold.key);
            let options = self.shared.options();
            let ask = self.call.ask(self.shared, &hold);
            let reserve = self.shared.parts().upstream();
            let reserve = reserve.reserve(ask, tokens, options.place_time);
            let reserved = timeout(options.reserve, reserve).await;
            match reserved.unwrap_or(Err(UpstreamError::Silent)) {
                Ok(place) => return Ok(Some((hold, PlaceHold::new(self.shared, place)))),
                Err(error) => {
                    ForwardLog::new(self.shared, self.call).failed(&hold, &error, Next::AskAnother);
                    if !matches!(error, UpstreamError::Refused { .. }) {
                        hold.failed(self.shared, &error);
                    }
                }
            }
        }
    }
}
