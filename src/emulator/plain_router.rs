use {
    super::{
        Ending, LoadAsk, LoadItem, Observation, RefusalSeen, Router, Site, Trace,
        caller::{Received, echoed},
        plain_endpoint::PlainEndpoint,
        router::PATIENCE,
    },
    crate::{
        board::Rule,
        border::{EngineClient, ServiceClient, http_client},
        key::{AttemptId, RequestId, name_hash},
        port::{
            DecodeRequest, Engine, EngineError, KvHandle, PrefillRequest, Service, ServiceCall,
            TokenStream,
        },
    },
    prometheus_client::metrics::counter::Counter,
    serde_json::Value,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Time to connect to an endpoint.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Pause before a failed call is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Time after which a request is no longer started.
const START_TIME: Duration = Duration::from_secs(20);

/// How a plain router chooses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlainChoice {
    /// Any endpoint.
    Random,
    /// The least load by the last report and by what the same host has sent since.
    LeastLoaded,
}

/// Baseline: hosts that each choose for themselves on lagging reports, prefill first, no grants.
#[derive(Clone, Debug)]
pub struct PlainRouter {
    choice: PlainChoice,
    engine: EngineClient,
    service: ServiceClient,
    hosts: Arc<[PlainHost]>,
    services: Arc<[Arc<PlainEndpoint>]>,
    rules: Arc<[Rule]>,
}

/// What one host knows.
#[derive(Debug)]
struct PlainHost {
    prefills: Vec<Arc<PlainEndpoint>>,
    decodes: Vec<Arc<PlainEndpoint>>,
}

/// A completion as the router works on it.
#[derive(Debug)]
struct Job<'a> {
    host: &'a PlainHost,
    rule: &'a Rule,
    prompt: &'a str,
    max_tokens: u32,
    request: RequestId,
    attempts: u16,
    held: Vec<(String, AttemptId)>,
}

impl PlainRouter {
    /// Creates as many hosts as the trace has daemons, in front of the endpoints of `site`;
    /// `reports` follows the load while it lives.
    pub fn new(
        site: &Site,
        trace: &Trace,
        choice: PlainChoice,
        reports: &mut JoinSet<()>,
    ) -> Result<Self, String> {
        let client = http_client(CONNECT_TIME).map_err(|error| error.to_string())?;
        let engine = EngineClient::new(client.clone(), Counter::default());
        let [prefills, _, _] = trace.header.profile.sizes();
        let hosts: Vec<_> = (0..trace.header.daemons)
            .map(|_| PlainHost::new(site, prefills))
            .collect();
        for endpoint in hosts.iter().flat_map(PlainHost::endpoints) {
            reports.spawn(Arc::clone(endpoint).follow(engine.clone()));
        }
        let services = site.services.iter();
        let services = services.map(|service| endpoint(&service.address()));
        Ok(Self {
            choice,
            engine,
            service: ServiceClient::new(client),
            hosts: hosts.into(),
            services: services.collect(),
            rules: trace.header.profile.rules()?.into(),
        })
    }

    async fn complete(&self, job: &mut Job<'_>) -> Observation {
        let start = Instant::now();
        while start.elapsed() < START_TIME {
            let Some(cache) = self.prefill(job).await else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            if let Some(received) = self.decode(job, cache).await {
                return received.judge(start, &job.rule.model, job.prompt, job.max_tokens);
            }
        }
        Observation::ended(refused("overloaded", "unknown"))
    }

    async fn prefill(&self, job: &mut Job<'_>) -> Option<KvHandle> {
        let endpoint = PlainEndpoint::choose(&job.host.prefills, self.choice)?;
        let ask = PrefillRequest {
            attempt: job.attempt(&endpoint.address),
            model: job.rule.model.clone(),
            adapter: job.rule.adapter.clone(),
            prompt: job.prompt.to_owned(),
            priority: job.rule.priority,
        };
        self.engine.prefill(&endpoint.address, &ask).await.ok()
    }

    /// Hands over until a decode endpoint takes the KV cache or it is gone; none if it is gone.
    async fn decode(&self, job: &mut Job<'_>, cache: KvHandle) -> Option<Received> {
        loop {
            let endpoint = PlainEndpoint::choose(&job.host.decodes, self.choice)?;
            let ask = DecodeRequest {
                attempt: job.attempt(&endpoint.address),
                model: job.rule.model.clone(),
                adapter: job.rule.adapter.clone(),
                prompt: job.prompt.to_owned(),
                max_tokens: job.max_tokens,
                priority: job.rule.priority,
                import: Some(cache.clone()),
            };
            match self.engine.decode(&endpoint.address, &ask).await {
                Ok(tokens) => return receive(tokens).await,
                Err(EngineError::Refused(_) | EngineError::Unsent(_)) => sleep(RETRY_PAUSE).await,
                Err(_) => return None,
            }
        }
    }

    /// Frees what the attempts of a caller that went away still hold.
    async fn cancel(&self, held: &[(String, AttemptId)]) {
        for (address, attempt) in held {
            if self.engine.cancel(address, *attempt).await.is_err() {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn call(&self, item: &LoadItem, path: &str, body: &str) -> Observation {
        let start = Instant::now();
        let Some(endpoint) = PlainEndpoint::choose(&self.services, PlainChoice::Random) else {
            return Observation::ended(refused("no-endpoint", "no"));
        };
        let key = item
            .key()
            .map(|key| ("idempotency-key".to_owned(), key.to_owned()));
        let call = ServiceCall {
            method: "POST".to_owned(),
            path: path.to_owned(),
            headers: key.into_iter().collect(),
            body: body.to_owned().into(),
        };
        let end = match self.service.call(&endpoint.address, &call).await {
            Ok(reply) => match serde_json::from_slice::<Value>(&reply.body) {
                Ok(answer) => echoed(&answer, path, body),
                Err(error) => Ending::Wrong(error.to_string()),
            },
            Err(error) if error.is_not_run() => refused("endpoint-refused", "no"),
            Err(_) => refused("outcome-unknown", "unknown"),
        };
        Observation {
            first_token: Some(start.elapsed()),
            ..Observation::ended(end)
        }
    }
}

impl Router for PlainRouter {
    async fn send(&self, number: usize, item: &LoadItem) -> Observation {
        let mine = |rule: &&Rule| rule.branch == item.branch && rule.kind == item.kind;
        let Some(rule) = self.rules.iter().find(mine) else {
            return Observation::ended(refused("no-rule", "no"));
        };
        let seen = match &item.ask {
            LoadAsk::Service { path, body, .. } => self.call(item, path, body).await,
            LoadAsk::Completion { prompt, max_tokens } => {
                let mut job = Job {
                    host: &self.hosts[number % self.hosts.len()],
                    rule,
                    prompt,
                    max_tokens: *max_tokens,
                    request: request(number),
                    attempts: 0,
                    held: Vec::new(),
                };
                let limit = item.leave.unwrap_or(PATIENCE);
                let seen = timeout(limit, self.complete(&mut job)).await;
                if seen.is_err() {
                    self.cancel(&job.held).await;
                }
                seen.unwrap_or_else(|_| Observation::ended(Ending::Left))
            }
        };
        Observation {
            kind: item.kind.clone(),
            key: item.key().map(str::to_owned),
            ..seen
        }
    }
}

impl PlainHost {
    fn new(site: &Site, prefills: usize) -> Self {
        let engines = site.engines.iter();
        let mut engines = engines.map(|engine| endpoint(&engine.address()));
        Self {
            prefills: engines.by_ref().take(prefills).collect(),
            decodes: engines.collect(),
        }
    }

    fn endpoints(&self) -> impl Iterator<Item = &Arc<PlainEndpoint>> {
        self.prefills.iter().chain(&self.decodes)
    }
}

impl Job<'_> {
    fn attempt(&mut self, address: &str) -> AttemptId {
        let attempt = AttemptId {
            request: self.request,
            number: self.attempts,
        };
        self.attempts += 1;
        self.held.push((address.to_owned(), attempt));
        attempt
    }
}

fn endpoint<A>(address: &A) -> Arc<PlainEndpoint>
where
    A: ToString,
{
    Arc::new(PlainEndpoint::new(address.to_string()))
}

fn request(number: usize) -> RequestId {
    RequestId {
        host: name_hash("plain"),
        incarnation: 1,
        sequence: number as u64,
    }
}

fn refused(reason: &str, ran: &str) -> Ending {
    Ending::Refused(RefusalSeen {
        reason: reason.to_owned(),
        ran: ran.to_owned(),
    })
}

/// Reads a stream; none if it broke before the first token.
async fn receive<T>(mut tokens: T) -> Option<Received>
where
    T: TokenStream,
{
    let mut received = Received::default();
    let mut empty = true;
    loop {
        match tokens.next().await {
            Ok(Some(chunk)) => {
                empty = empty && chunk.text.is_empty();
                if !chunk.text.is_empty() {
                    received.add(&chunk.text);
                }
            }
            Ok(None) => {
                received.finish();
                return Some(received);
            }
            Err(_) if empty => return None,
            Err(_) => return Some(received),
        }
    }
}
