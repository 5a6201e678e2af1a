use {
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Collected, Full},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Objects of a page of a list: few, so that paging is met.
const PAGE_ITEMS: usize = 2;

/// The store of the platform: objects, conditional writes and watches.
#[derive(Clone, Debug)]
pub struct StoreStandIn {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// Every call is answered with 503.
    Down,
    /// Every answer waits.
    Slow(Duration),
    /// Calls are carried out, and their connections closed instead of an answer.
    Mute,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    events: Vec<(String, u64, Value)>,
    fault: StoreFault,
    compacted: u64,
}

impl StoreStandIn {
    /// Starts an empty store on a free port.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: Arc::default(),
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = serving.clone();
                tokio::spawn(async move {
                    let answer = service_fn(|request| store.answer(request));
                    // A connection that a client drops is none of the store's concern.
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), answer)
                        .await;
                });
            }
        });
        Ok(store)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object as the operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> u64 {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, spec.clone()));
        let object = object(name, revision, spec);
        let event = json!({ "Object": object, "Removed": false });
        state.events.push((kind.to_owned(), revision, event));
        self.changed.notify_waiters();
        revision
    }

    /// Removes an object, if it is there.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        let Some((old, spec)) = state.objects.remove(&key) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        let event = json!({ "Object": object(name, old, &spec), "Removed": true });
        state.events.push((kind.to_owned(), revision, event));
        self.changed.notify_waiters();
    }

    /// Goes wrong, or right again.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state().fault = fault;
        self.changed.notify_waiters();
    }

    /// Drops the history of changes.
    pub fn compact(&self) {
        let mut state = self.state();
        state.compacted = state.revision;
        state.events.clear();
    }

    /// Names of the objects of `kind`.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state();
        let keys = state.objects.keys().filter(|(other, _)| other == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    async fn answer(&self, request: Request<Incoming>) -> io::Result<Response<Full<Bytes>>> {
        let fault = self.state().fault;
        match fault {
            StoreFault::Down => {
                return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
            }
            StoreFault::Slow(time) => sleep(time).await,
            StoreFault::None | StoreFault::Mute => {}
        }
        let answer = self.carry_out(request).await;
        if fault == StoreFault::Mute {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(answer)
    }

    async fn carry_out(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map(Collected::to_bytes);
        let body = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or(Value::Null);
        let path = parts
            .uri
            .path()
            .trim_start_matches("/v1/objects/")
            .to_owned();
        let query: BTreeMap<_, _> = parts
            .uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
        match (parts.method, query.get("Watch")) {
            (Method::GET, Some(since)) => {
                let number = |text: Option<&String>| text.and_then(|text| text.parse().ok());
                let (Some(wait), Some(since)) = (number(query.get("WaitMs")), number(Some(since)))
                else {
                    return reply(StatusCode::BAD_REQUEST, &Value::Null);
                };
                self.watch(kind, since, Duration::from_millis(wait)).await
            }
            (Method::GET, None) if name.is_empty() => self.list(kind, query.get("after")),
            (Method::GET, None) => self.get(kind, name),
            (Method::POST, _) => {
                let name = body["Metadata"]["Name"].as_str().unwrap_or_default();
                self.write(kind, name, None, &body["Spec"])
            }
            (_, _) => {
                let revision = body["Metadata"]["Revision"].as_u64();
                self.write(kind, name, revision, &body["Spec"])
            }
        }
    }

    fn list(&self, kind: &str, after: Option<&String>) -> Response<Full<Bytes>> {
        let state = self.state();
        let found: Vec<_> = state
            .objects
            .iter()
            .filter(|((other, name), _)| other == kind && after.is_none_or(|after| name > after))
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let more = found.len() > PAGE_ITEMS;
        let items: Vec<_> = found.into_iter().take(PAGE_ITEMS).collect();
        let page = json!({ "items": items, "HasMore": more, "StoreRevision": state.revision });
        reply(StatusCode::OK, &page)
    }

    fn get(&self, kind: &str, name: &str) -> Response<Full<Bytes>> {
        let state = self.state();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => reply(StatusCode::OK, &object(name, *revision, spec)),
            None => reply(StatusCode::NOT_FOUND, &Value::Null),
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        spec: &Value,
    ) -> Response<Full<Bytes>> {
        let key = (kind.to_owned(), name.to_owned());
        let before = self.state().objects.get(&key).cloned();
        if let Some((revision, old)) = before
            && expected != Some(revision)
        {
            return reply(StatusCode::CONFLICT, &object(name, revision, &old));
        }
        let revision = self.put(kind, name, spec);
        reply(StatusCode::OK, &object(name, revision, spec))
    }

    async fn watch(&self, kind: &str, since: u64, wait: Duration) -> Response<Full<Bytes>> {
        let events = timeout(wait, async {
            loop {
                let changed = self.changed.notified();
                {
                    let state = self.state();
                    if state.fault == StoreFault::Down || since < state.compacted {
                        return None;
                    }
                    let events: Vec<_> = state
                        .events
                        .iter()
                        .filter(|(other, revision, _)| other == kind && *revision > since)
                        .map(|(_, _, event)| event.clone())
                        .collect();
                    if !events.is_empty() {
                        return Some(events);
                    }
                }
                changed.await;
            }
        });
        let events = events.await.unwrap_or(Some(Vec::new()));
        let revision = self.state().revision;
        match events {
            Some(events) => reply(
                StatusCode::OK,
                &json!({ "events": events, "StoreRevision": revision }),
            ),
            None => reply(StatusCode::GONE, &Value::Null),
        }
    }
}

fn object(name: &str, revision: u64, spec: &Value) -> Value {
    json!({ "Metadata": { "Name": name, "Revision": revision }, "Spec": spec, "Status": null })
}

fn reply(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}
