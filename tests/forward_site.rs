//! Test setup: the forwarding part of a daemon, with scripted endpoints and a fixed placement.

use {
    crate::{listed::listed, routing::route},
    bytes::Bytes,
    http::{HeaderMap, Method},
    lentillead::{
        board::{
            Blackboard, CallerLimits, Counters, Health, PathRoute, QuotaCredit, Repeat,
            ReportedLoad, ResponseKind, Role, Routing, Writers,
        },
        decide::merge_described,
        key::CauseKey,
        port::{
            CacheHandle, CallEnd, CallerIdentity, Clock, Credentials, EndpointNotice,
            ForwardRequest, MonoClock, Noticed, PlacementEnd, PlacementOutcome, PlacementRequest,
            Placer, QuotaAnswer, QuotaGate, Reservation, ResponseBody, ResponseEvent, TokenCounts,
            Upstream, UpstreamError, UpstreamRequest, UpstreamResponse,
        },
        request::{
            ForwardEntry, ForwardOptions, ForwardParts, ForwardReply, ForwardShared, Refused,
        },
    },
    prometheus_client::registry::Registry,
    std::{
        collections::{HashMap, VecDeque},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
};

/// Behaviour of an endpoint on one call.
#[derive(Clone, Debug)]
pub enum Act {
    /// Responds with this status after this many milliseconds.
    Answer(u16, u64),
    /// Sends events with these ids, then ends the stream (`true`) or breaks it (`false`).
    Events(Vec<u64>, bool),
    /// Responds after this many milliseconds, then sends events, each after a pause in milliseconds
    /// and with an id, 0 for a comment, and ends the stream.
    Paced(u64, Vec<(u64, u64)>),
    /// Fails with this error.
    Fail(UpstreamError),
    /// Never responds; the call fails as timed out after one hour.
    Hang,
}

/// Endpoints that share one script and record their calls. Past its end, they respond with 200.
#[derive(Clone, Debug, Default)]
pub struct Script {
    pub acts: Arc<Mutex<VecDeque<Act>>>,
    pub calls: Arc<Mutex<Vec<String>>>,
    /// Names of the endpoints that runs were sent to.
    pub runs: Arc<Mutex<Vec<String>>>,
    /// As whom the callers of prefills and runs were presented.
    identities: Arc<Mutex<Vec<CallerIdentity>>>,
}

impl Script {
    pub async fn act(&self, call: String) -> Result<Act, UpstreamError> {
        self.calls.lock().unwrap().push(call);
        let act = self.acts.lock().unwrap().pop_front();
        match act.unwrap_or(Act::Answer(200, 1)) {
            Act::Fail(error) => Err(error),
            Act::Hang => {
                sleep(Duration::from_hours(1)).await;
                Err(UpstreamError::TimedOut)
            }
            Act::Answer(status, ms) => {
                sleep(Duration::from_millis(ms)).await;
                Ok(Act::Answer(status, ms))
            }
            Act::Paced(ms, events) => {
                sleep(Duration::from_millis(ms)).await;
                Ok(Act::Paced(ms, events))
            }
            events @ Act::Events(..) => Ok(events),
        }
    }

    /// Returns as whom the callers of prefills and runs were presented, in order.
    pub fn identities(&self) -> Vec<String> {
        let identities = self.identities.lock().unwrap();
        identities
            .iter()
            .map(|found| format!("{found:?}"))
            .collect()
    }

    pub fn record(&self, call: &str) {
        self.calls.lock().unwrap().push(call.to_owned());
    }
}

/// What an endpoint says of itself: one request runs.
fn notice() -> EndpointNotice {
    EndpointNotice {
        load: Some(ReportedLoad {
            running: 1,
            waiting: 0,
            slots: 6,
            speed: None,
        }),
        ..EndpointNotice::default()
    }
}

/// Body of a scripted response: the times and ids of the events left, and whether the stream ends cleanly.
#[derive(Debug)]
pub struct Body(VecDeque<(Instant, u64)>, bool);

impl Body {
    /// Returns a body of `events`, each sent after a pause in milliseconds.
    fn paced(events: Vec<(u64, u64)>, ends: bool) -> Self {
        let mut due = Instant::now();
        let events = events.into_iter().map(|(pause, id)| {
            due += Duration::from_millis(pause);
            (due, id)
        });
        Self(events.collect(), ends)
    }
}

impl ResponseBody for Body {
    async fn next(&mut self) -> Result<Option<ResponseEvent>, UpstreamError> {
        if let Some((due, _)) = self.0.front() {
            sleep_until(*due).await;
        }
        match self.0.pop_front() {
            Some((_, 0)) => Ok(Some(ResponseEvent {
                id: None,
                bytes: Bytes::from(": comment"),
            })),
            Some((_, id)) => Ok(Some(ResponseEvent {
                id: Some(id),
                bytes: Bytes::from(format!("event {id}")),
            })),
            None if self.1 => Ok(None),
            None => Err(UpstreamError::Broken("cut".into())),
        }
    }

    async fn collect(self, _: usize) -> Result<Bytes, UpstreamError> {
        Ok(Bytes::from_static(b"whole"))
    }
}

impl Upstream for Script {
    type Body = Body;

    async fn send(
        &self,
        request: UpstreamRequest,
    ) -> Result<UpstreamResponse<Body>, UpstreamError> {
        self.runs.lock().unwrap().push(request.endpoint);
        self.identities.lock().unwrap().push(request.identity);
        let cache = request
            .cache
            .map_or(String::new(), |cache| format!(" from {}", cache.handle));
        let resume = request
            .resume_after
            .map_or(String::new(), |last| format!(" after {last}"));
        let act = self.act(format!("run{cache}{resume}")).await?;
        let (status, body) = match act {
            Act::Events(ids, ends) => {
                let events = ids.into_iter().map(|id| (0, id));
                (200, Body::paced(events.collect(), ends))
            }
            Act::Paced(_, events) => (200, Body::paced(events, true)),
            Act::Answer(status, _) => (status, Body(VecDeque::new(), true)),
            Act::Fail(_) | Act::Hang => unreachable!("handled before"),
        };
        Ok(UpstreamResponse {
            status,
            headers: HeaderMap::new(),
            notice: notice(),
            body,
        })
    }

    async fn prefill(
        &self,
        request: UpstreamRequest,
    ) -> Result<Noticed<CacheHandle>, UpstreamError> {
        self.identities.lock().unwrap().push(request.identity);
        self.act("prefill".into()).await?;
        Ok(Noticed {
            value: CacheHandle {
                address: request.address,
                handle: "cache".into(),
            },
            notice: notice(),
        })
    }

    async fn reserve(
        &self,
        request: UpstreamRequest,
        tokens: u64,
        _: Duration,
    ) -> Result<Noticed<Reservation>, UpstreamError> {
        self.act(format!("reserve {tokens}")).await?;
        Ok(Noticed {
            value: Reservation {
                address: request.address,
                handle: "place".into(),
            },
            notice: notice(),
        })
    }

    async fn release(&self, _: Reservation) -> Result<(), UpstreamError> {
        self.record("release");
        Ok(())
    }

    async fn free_cache(&self, _: CacheHandle) -> Result<(), UpstreamError> {
        self.record("free");
        Ok(())
    }
}

/// Placer that returns these outcomes, the last one again and again, each after 100 ms; `d2` replaces a
/// decode engine to avoid, and a prefill engine to avoid is left out. Keeps the requests.
#[derive(Clone, Debug)]
pub struct FixedPlacer {
    outcomes: Arc<Mutex<VecDeque<PlacementOutcome>>>,
    pub requests: Arc<Mutex<Vec<PlacementRequest>>>,
}

impl FixedPlacer {
    fn next(&self) -> PlacementOutcome {
        let mut outcomes = self.outcomes.lock().unwrap();
        let next = outcomes.front().unwrap().clone();
        if outcomes.len() > 1 {
            outcomes.pop_front();
        }
        next
    }
}

impl Placer for FixedPlacer {
    async fn place(&self, request: PlacementRequest) -> PlacementOutcome {
        self.requests.lock().unwrap().push(request.clone());
        sleep(Duration::from_millis(100)).await;
        match self.next() {
            PlacementOutcome::Placed {
                decode,
                prefill,
                suspect,
            } => PlacementOutcome::Placed {
                suspect,
                decode: if request.avoid.contains(&decode) {
                    "d2".to_owned()
                } else {
                    decode
                },
                prefill: prefill
                    .filter(|name| request.remote_prefill && !request.avoid.contains(name)),
            },
            other => other,
        }
    }

    fn end(&self, _: PlacementEnd) {}

    async fn end_call(&self, _: CallEnd) -> bool {
        false
    }

    fn refused(&self, _: &str, _: &[CauseKey]) -> Option<Duration> {
        None
    }
}

#[derive(Clone, Debug)]
pub struct Ports(Script, FixedPlacer, MonoClock, FixedQuotas);

impl ForwardParts for Ports {
    type Clock = MonoClock;
    type Upstream = Script;
    type Placer = FixedPlacer;
    type Quotas = FixedQuotas;

    fn clock(&self) -> &MonoClock {
        &self.2
    }

    fn upstream(&self) -> &Script {
        &self.0
    }

    fn placer(&self) -> &FixedPlacer {
        &self.1
    }

    fn quotas(&self) -> &FixedQuotas {
        &self.3
    }
}

/// Credit of which each request takes its cost.
#[derive(Clone, Debug, Default)]
pub struct FixedQuotas(pub Arc<QuotaCredit>);

impl QuotaGate for FixedQuotas {
    async fn reserve(&self, _: &str, cost: u64) -> QuotaAnswer {
        let now = MonoClock::start().since_boot();
        let refused = || QuotaAnswer::Refused(Duration::from_millis(250));
        self.0
            .reserve(cost, now)
            .map_or_else(refused, QuotaAnswer::Granted)
    }
}

/// Forwarding entry of a daemon with endpoints of every role.
pub struct Site {
    pub entry: ForwardEntry<Ports>,
    pub script: Script,
    pub placer: FixedPlacer,
    pub quotas: FixedQuotas,
    pub writers: Writers,
}

pub fn routes() -> Vec<PathRoute> {
    let at_most_once = |route| PathRoute {
        repeat: Repeat::AtMostOnce,
        attempts: 1,
        ..route
    };
    let events = |route| PathRoute {
        response: ResponseKind::Events,
        pools: vec![("models".to_owned(), 1)],
        timeout: Duration::from_secs(14),
        target: Duration::from_millis(900),
        ..route
    };
    vec![
        route("read", "a.example", "/read/"),
        at_most_once(route("order", "a.example", "/order/")),
        events(route("stream", "a.example", "/stream/")),
        at_most_once(events(route("stream-once", "a.example", "/once/"))),
    ]
}

pub fn site(placement: PlacementOutcome, acts: Vec<Act>) -> Site {
    site_with_placements(vec![placement], acts)
}

pub fn site_with_placements(placements: Vec<PlacementOutcome>, acts: Vec<Act>) -> Site {
    let (board, mut writers) = Blackboard::new();
    let endpoints = [
        listed("s1", "ledger", Role::Service),
        listed("s2", "ledger", Role::Service),
        listed("d1", "models", Role::Decode),
        listed("d2", "models", Role::Decode),
        listed("p1", "models", Role::Prefill),
    ];
    let described: Vec<_> = endpoints.iter().map(|(l, d)| (l, d)).collect();
    writers
        .fleet
        .update(|fleet| merge_described(fleet, &described));
    let routing = Routing::new(4, routes(), HashMap::new(), CallerLimits::default());
    writers.routing.publish(routing);
    writers.health.publish(Health {
        store_reachable: true,
        ready: true,
        ..Health::default()
    });
    let script = Script {
        acts: Arc::new(Mutex::new(acts.into())),
        calls: Arc::default(),
        runs: Arc::default(),
        identities: Arc::default(),
    };
    let placer = FixedPlacer {
        outcomes: Arc::new(Mutex::new(placements.into())),
        requests: Arc::default(),
    };
    let quotas = FixedQuotas::default();
    let ports = Ports(
        script.clone(),
        placer.clone(),
        MonoClock::start(),
        quotas.clone(),
    );
    let counters = Counters::new(&mut Registry::default());
    let shared = ForwardShared::new(ports, board, counters, ForwardOptions::default(), 7);
    Site {
        entry: ForwardEntry::new(shared),
        script,
        placer,
        quotas,
        writers,
    }
}

pub fn refused(refused: &Refused) -> String {
    let wait = refused.retry_after.map(|wait| wait.as_millis());
    format!(
        "{} ran {:?} again after {wait:?}",
        refused.reason.as_str(),
        refused.ran
    )
}

impl Site {
    /// Sends a request; returns what the caller received, the endpoint calls and the time in ms.
    pub async fn send(&self, path: &str) -> (String, Vec<String>, u128) {
        self.send_within(path, None).await
    }

    /// Sends a request of a caller who leaves `limit` for the response.
    pub async fn send_within(
        &self,
        path: &str,
        limit: Option<Duration>,
    ) -> (String, Vec<String>, u128) {
        send_request(&self.entry, &self.script, request(path), limit).await
    }

    /// Sends a request of a caller with `credentials`.
    pub async fn send_as(
        &self,
        path: &str,
        credentials: Credentials,
    ) -> (String, Vec<String>, u128) {
        send(&self.entry, &self.script, path, credentials).await
    }
}

/// Returns a request for `path`.
fn request(path: &str) -> ForwardRequest {
    ForwardRequest {
        id: "r-1".to_owned(),
        method: Method::POST,
        host: "a.example".to_owned(),
        target: format!("{path}x?y=1"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        token_counts: Some(TokenCounts {
            prompt: 5_000,
            max_output: 1_000,
            output_hint: None,
        }),
        shared_parts: Vec::new(),
        resume_after: None,
        credentials: Credentials::default(),
    }
}

/// Sends a request of a caller with `credentials` to `entry`, whose endpoints follow `script`.
pub async fn send(
    entry: &ForwardEntry<Ports>,
    script: &Script,
    path: &str,
    credentials: Credentials,
) -> (String, Vec<String>, u128) {
    let request = ForwardRequest {
        credentials,
        ..request(path)
    };
    send_request(entry, script, request, None).await
}

/// Sends `request`; returns what the caller received, the endpoint calls and the time in ms.
async fn send_request(
    entry: &ForwardEntry<Ports>,
    script: &Script,
    request: ForwardRequest,
    limit: Option<Duration>,
) -> (String, Vec<String>, u128) {
    let start = Instant::now();
    let received = match entry.forward(request, limit).await {
        ForwardReply::Complete(response) => format!("status {}", response.status),
        ForwardReply::Refused(reason) => refused(&reason),
        ForwardReply::Events(_, mut relay) => {
            let mut received = Vec::new();
            while let Some(next) = relay.next().await {
                received.push(match next {
                    Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
                    Err(reason) => refused(&reason),
                });
            }
            received.join(", ")
        }
    };
    let took = start.elapsed().as_millis();
    entry.shared().wait_for_tasks().await;
    (received, script.calls.lock().unwrap().clone(), took)
}

pub fn placed() -> PlacementOutcome {
    PlacementOutcome::Placed {
        suspect: false,
        decode: "d1".to_owned(),
        prefill: Some("p1".to_owned()),
    }
}

pub fn full() -> Act {
    Act::Fail(UpstreamError::Refused {
        status: 503,
        notice: EndpointNotice::default(),
    })
}

pub fn broken() -> Act {
    Act::Fail(UpstreamError::Broken("reset".into()))
}

pub fn unsent() -> Act {
    Act::Fail(UpstreamError::Unsent("refused".into()))
}
