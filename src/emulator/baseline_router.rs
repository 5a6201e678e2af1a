use {
    super::{
        Ending, LoadItem, LoadPayload, Observation, RefusalSeen, Router, Site, Trace,
        baseline_endpoint::BaselineEndpoint,
        caller::{Received, check_echo},
        router::CALLER_TIMEOUT,
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

/// Time limit for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a failed call is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Time since its arrival after which a request is not retried any more.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How the baseline router chooses an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselinePolicy {
    /// Any endpoint, with equal probability.
    Random,
    /// The endpoint with the least load, by its last load report and the requests that the same
    /// host has sent since.
    LeastLoaded,
}

/// Baseline that the daemons are compared with: hosts that each choose endpoints on their own from
/// lagging load reports. It runs the prefill before it chooses a decode endpoint, and uses no
/// grants.
#[derive(Clone, Debug)]
pub struct BaselineRouter {
    policy: BaselinePolicy,
    engine: EngineClient,
    service: ServiceClient,
    hosts: Arc<[BaselineHost]>,
    services: Arc<[Arc<BaselineEndpoint>]>,
    rules: Arc<[Rule]>,
}

/// Endpoints as one host of the baseline router sees them.
#[derive(Debug)]
struct BaselineHost {
    prefills: Vec<Arc<BaselineEndpoint>>,
    decodes: Vec<Arc<BaselineEndpoint>>,
}

/// Completion request in progress.
#[derive(Debug)]
struct Job<'a> {
    host: &'a BaselineHost,
    rule: &'a Rule,
    prompt: &'a str,
    max_tokens: u32,
    request: RequestId,
    attempts: u16,
    /// Endpoint and identity of every attempt, which may still hold engine memory.
    started: Vec<(String, AttemptId)>,
}

impl BaselineRouter {
    /// Creates as many hosts as the trace has daemons, in front of the endpoints of `site`; the
    /// load reports are polled by tasks in `pollers` until it is dropped.
    ///
    /// Fails if the HTTP client cannot be created or the shipped sheet is invalid.
    pub fn new(
        site: &Site,
        trace: &Trace,
        policy: BaselinePolicy,
        pollers: &mut JoinSet<()>,
    ) -> Result<Self, String> {
        let client = http_client(CONNECT_TIMEOUT).map_err(|error| error.to_string())?;
        let engine = EngineClient::new(client.clone(), Counter::default());
        let [prefills, _, _] = trace.header.profile.sizes();
        let hosts: Vec<_> = (0..trace.header.daemons)
            .map(|_| BaselineHost::new(site, prefills))
            .collect();
        for endpoint in hosts.iter().flat_map(BaselineHost::endpoints) {
            pollers.spawn(Arc::clone(endpoint).poll_load(engine.clone()));
        }
        let services = site.services.iter();
        let services = services.map(|service| endpoint(&service.address()));
        Ok(Self {
            policy,
            engine,
            service: ServiceClient::new(client),
            hosts: hosts.into(),
            services: services.collect(),
            rules: trace.header.profile.rules()?.into(),
        })
    }

    /// Runs prefill and decode, and retries from the prefill on until `START_TIMEOUT` has passed.
    async fn complete(&self, job: &mut Job<'_>) -> Observation {
        let start = Instant::now();
        while start.elapsed() < START_TIMEOUT {
            let Some(cache) = self.prefill(job).await else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            if let Some(received) = self.decode(job, cache).await {
                return received.observe(start, &job.rule.model, job.prompt, job.max_tokens);
            }
        }
        Observation::ended(refusal("overloaded", "unknown"))
    }

    /// Computes the prompt at one prefill endpoint; none if the call fails.
    async fn prefill(&self, job: &mut Job<'_>) -> Option<KvHandle> {
        let endpoint = BaselineEndpoint::choose(&job.host.prefills, self.policy)?;
        let request = PrefillRequest {
            attempt: job.attempt(&endpoint.address),
            model: job.rule.model.clone(),
            adapter: job.rule.adapter.clone(),
            prompt: job.prompt.to_owned(),
            priority: job.rule.priority,
        };
        self.engine.prefill(&endpoint.address, &request).await.ok()
    }

    /// Offers the KV cache to decode endpoints until one accepts it; none if an attempt fails in a
    /// way that may have used up the cache, or breaks off before the first token.
    async fn decode(&self, job: &mut Job<'_>, cache: KvHandle) -> Option<Received> {
        loop {
            let endpoint = BaselineEndpoint::choose(&job.host.decodes, self.policy)?;
            let request = DecodeRequest {
                attempt: job.attempt(&endpoint.address),
                model: job.rule.model.clone(),
                adapter: job.rule.adapter.clone(),
                prompt: job.prompt.to_owned(),
                max_tokens: job.max_tokens,
                priority: job.rule.priority,
                import: Some(cache.clone()),
            };
            match self.engine.decode(&endpoint.address, &request).await {
                Ok(tokens) => return receive_stream(tokens).await,
                Err(EngineError::Refused(_) | EngineError::Unsent(_)) => sleep(RETRY_PAUSE).await,
                Err(_) => return None,
            }
        }
    }

    /// Sends one cancel call for each attempt of a caller that disconnected or timed out, so that
    /// the endpoints free their memory; pauses after a call that fails.
    async fn cancel(&self, started: &[(String, AttemptId)]) {
        for (address, attempt) in started {
            if self.engine.cancel(address, *attempt).await.is_err() {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Calls a service at a random endpoint, without a retry.
    async fn call(&self, item: &LoadItem, path: &str, body: &str) -> Observation {
        let start = Instant::now();
        let Some(endpoint) = BaselineEndpoint::choose(&self.services, BaselinePolicy::Random)
        else {
            return Observation::ended(refusal("no-endpoint", "no"));
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
                Ok(echo) => check_echo(&echo, path, body),
                Err(error) => Ending::Wrong(error.to_string()),
            },
            Err(error) if error.is_not_run() => refusal("endpoint-refused", "no"),
            Err(_) => refusal("outcome-unknown", "unknown"),
        };
        Observation {
            first_token: Some(start.elapsed()),
            ..Observation::ended(end)
        }
    }
}

impl Router for BaselineRouter {
    async fn send(&self, number: usize, item: &LoadItem) -> Observation {
        let matching = |rule: &&Rule| rule.branch == item.branch && rule.kind == item.kind;
        let Some(rule) = self.rules.iter().find(matching) else {
            return Observation::ended(refusal("no-rule", "no"));
        };
        let observation = match &item.payload {
            LoadPayload::Service { path, body, .. } => self.call(item, path, body).await,
            LoadPayload::Completion { prompt, max_tokens } => {
                let mut job = Job {
                    host: &self.hosts[number % self.hosts.len()],
                    rule,
                    prompt,
                    max_tokens: *max_tokens,
                    request: request_id(number),
                    attempts: 0,
                    started: Vec::new(),
                };
                let limit = item.disconnect_after.unwrap_or(CALLER_TIMEOUT);
                let observation = timeout(limit, self.complete(&mut job)).await;
                if observation.is_err() {
                    self.cancel(&job.started).await;
                }
                observation.unwrap_or_else(|_| Observation::ended(Ending::Left))
            }
        };
        Observation {
            kind: item.kind.clone(),
            key: item.key().map(str::to_owned),
            ..observation
        }
    }
}

impl BaselineHost {
    /// Takes the first `prefills` engines of `site` as prefill endpoints and the rest for decode.
    fn new(site: &Site, prefills: usize) -> Self {
        let engines = site.engines.iter();
        let mut engines = engines.map(|engine| endpoint(&engine.address()));
        Self {
            prefills: engines.by_ref().take(prefills).collect(),
            decodes: engines.collect(),
        }
    }

    fn endpoints(&self) -> impl Iterator<Item = &Arc<BaselineEndpoint>> {
        self.prefills.iter().chain(&self.decodes)
    }
}

impl Job<'_> {
    /// Starts a new attempt at the endpoint with this address and records it.
    fn attempt(&mut self, address: &str) -> AttemptId {
        let attempt = AttemptId {
            request: self.request,
            number: self.attempts,
        };
        self.attempts += 1;
        self.started.push((address.to_owned(), attempt));
        attempt
    }
}

fn endpoint<A>(address: &A) -> Arc<BaselineEndpoint>
where
    A: ToString,
{
    Arc::new(BaselineEndpoint::new(address.to_string()))
}

/// Identity of the request with the given number.
fn request_id(number: usize) -> RequestId {
    RequestId {
        host: name_hash("plain"),
        incarnation: 1,
        sequence: number as u64,
    }
}

fn refusal(reason: &str, ran: &str) -> Ending {
    Ending::Refused(RefusalSeen {
        reason: reason.to_owned(),
        ran: ran.to_owned(),
    })
}

/// Reads a stream to its end; none if it broke off before the first token.
async fn receive_stream<T>(mut tokens: T) -> Option<Received>
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
