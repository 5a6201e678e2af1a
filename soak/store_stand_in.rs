use {
    bytes::Bytes,
    http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode},
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

/// Header with the number of times that the store has come back from a copy.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Objects per page of a list; few, so that lists need several pages.
const PAGE_ITEMS: usize = 2;

/// Wait of a watch that asks for none, in milliseconds.
const MAX_WATCH_MS: u64 = 30_000;

/// An in-memory stand-in for the platform's store, served over HTTP: objects, conditional writes
/// and watches. Clones share one store.
#[derive(Clone, Debug)]
pub struct StoreStandIn {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

/// Fault of the store. Plans print the variant names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call gets status 503; a watch that already waits ends with status 410.
    Down,
    /// Every call waits for this time before it is carried out.
    Slow(Duration),
    /// Calls are carried out, and their connections are closed without a response.
    Mute,
}

/// What a store holds at one moment.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    events: Vec<(String, u64, Value)>,
    compacted_to: u64,
}

#[derive(Debug, Default)]
struct State {
    held: StoreCopy,
    fault: StoreFault,
    /// Number of times that the store has come back from a copy.
    era: u64,
}

impl StoreStandIn {
    /// Starts an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
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
                    let service = service_fn(|request| store.respond(request));
                    // A connection error is a client that disconnected; the store ignores it.
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok(store)
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object unconditionally, as the operator or a worker does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> u64 {
        let mut state = self.state();
        state.held.revision += 1;
        let revision = state.held.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.held.objects.insert(key, (revision, spec.clone()));
        let object = object(name, revision, spec);
        let event = json!({ "Object": object, "Removed": false });
        state.held.events.push((kind.to_owned(), revision, event));
        self.changed.notify_waiters();
        revision
    }

    /// Removes an object; does nothing if it does not exist.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        let Some((old, spec)) = state.held.objects.remove(&key) else {
            return;
        };
        state.held.revision += 1;
        let revision = state.held.revision;
        let event = json!({ "Object": object(name, old, &spec), "Removed": true });
        state.held.events.push((kind.to_owned(), revision, event));
        self.changed.notify_waiters();
    }

    /// Sets the fault; `StoreFault::None` ends it.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state().fault = fault;
        self.changed.notify_waiters();
    }

    /// Drops all watch events so far; a watch from an earlier revision gets status 410.
    pub fn compact(&self) {
        let mut state = self.state();
        state.held.compacted_to = state.held.revision;
        state.held.events.clear();
    }

    /// Returns a copy of what it holds.
    pub fn copy(&self) -> StoreCopy {
        self.state().held.clone()
    }

    /// Comes back from `copy`: what was written since is gone, and its revisions are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state();
        state.held = copy;
        state.era += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the contents of an object; `None` if it does not exist.
    pub fn contents(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state();
        let object = state.held.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map(|(_, contents)| contents.clone())
    }

    /// Names of the objects of `kind`, sorted.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state();
        let keys = state.held.objects.keys().filter(|(other, _)| other == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    async fn respond(&self, request: Request<Incoming>) -> io::Result<Response<Full<Bytes>>> {
        let fault = self.state().fault;
        match fault {
            StoreFault::Down => {
                return Ok(response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
            }
            StoreFault::Slow(time) => sleep(time).await,
            StoreFault::None | StoreFault::Mute => {}
        }
        let mut response = self.execute(request).await;
        let era = HeaderValue::from(self.state().era);
        response.headers_mut().insert(STORE_ERA, era);
        if fault == StoreFault::Mute {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(response)
    }

    async fn execute(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
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
                    return response(StatusCode::BAD_REQUEST, &Value::Null);
                };
                let wait = if wait == 0 { MAX_WATCH_MS } else { wait };
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
            .held
            .objects
            .iter()
            .filter(|((other, name), _)| other == kind && after.is_none_or(|after| name > after))
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let more = found.len() > PAGE_ITEMS;
        let items: Vec<_> = found.into_iter().take(PAGE_ITEMS).collect();
        let page = json!({ "items": items, "HasMore": more, "StoreRevision": state.held.revision });
        response(StatusCode::OK, &page)
    }

    fn get(&self, kind: &str, name: &str) -> Response<Full<Bytes>> {
        let state = self.state();
        match state.held.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => response(StatusCode::OK, &object(name, *revision, spec)),
            None => response(StatusCode::NOT_FOUND, &Value::Null),
        }
    }

    /// Writes an object that does not exist or has the revision `expected`; otherwise responds with
    /// status 409 and the current object.
    fn write(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        spec: &Value,
    ) -> Response<Full<Bytes>> {
        let key = (kind.to_owned(), name.to_owned());
        let current = self.state().held.objects.get(&key).cloned();
        if let Some((revision, old)) = current
            && expected != Some(revision)
        {
            return response(StatusCode::CONFLICT, &object(name, revision, &old));
        }
        let revision = self.put(kind, name, spec);
        response(StatusCode::OK, &object(name, revision, spec))
    }

    async fn watch(&self, kind: &str, since: u64, wait: Duration) -> Response<Full<Bytes>> {
        let events = timeout(wait, async {
            loop {
                let changed = self.changed.notified();
                {
                    let state = self.state();
                    let known = state.held.compacted_to..=state.held.revision;
                    if state.fault == StoreFault::Down || !known.contains(&since) {
                        return None;
                    }
                    let events: Vec<_> = state
                        .held
                        .events
                        .iter()
                        .filter(|(other, revision, _)| other == kind && *revision > since)
                        .map(|(_, _, event)| event.clone())
                        .collect();
                    if !events.is_empty() {
                        return Some((events, state.held.revision));
                    }
                }
                changed.await;
            }
        });
        let events = events.await.unwrap_or(Some((Vec::new(), since)));
        match events {
            Some((events, revision)) => response(
                StatusCode::OK,
                &json!({ "events": events, "StoreRevision": revision }),
            ),
            None => response(StatusCode::GONE, &Value::Null),
        }
    }
}

fn object(name: &str, revision: u64, spec: &Value) -> Value {
    json!({ "Metadata": { "Name": name, "Revision": revision }, "Spec": spec, "Status": null })
}

fn response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}
