//! Stand-ins of the users' platform for the cases of the second review: the store, plain workers, model
//! workers and a daemon that is started with the command and the template of the deploy file.
//!
//! Standard library only. Everything listens on loopback addresses and free ports.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// The zone of every stand-in and daemon.
pub const ZONE: &str = "zone-a";

/// A parsed HTTP/1.1 request.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the next request of a connection; `None` at its end.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let mut headers = BTreeMap::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        Some(Self { method, target, headers, body })
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Writes a complete response.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut all = head.into_bytes();
    all.extend_from_slice(body);
    stream.write_all(&all)
}

/// Serves each connection of `listener` in a thread of its own.
fn accept<F>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || serve(stream));
        }
    });
}

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Revision and contents (JSON text) by kind and name.
    held: BTreeMap<(String, String), (u64, String)>,
    /// Kind, revision and event (JSON text).
    events: Vec<(String, u64, String)>,
}

/// The platform's store: objects, watches and conditional writes.
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new(Objects { revision: 1, ..Objects::default() }), Condvar::new()));
        let served = Arc::clone(&state);
        accept(listener, move |stream| {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Some(request) = Request::read(&mut reader) {
                let (status, body) = handle(&served, &request);
                let headers = "Content-Type: application/json\r\n";
                if respond(&mut writer, status, headers, body.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { address, state }
    }

    /// Writes an object as the operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        put(&self.state, kind, name, spec);
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"Metadata":{{"Name":"{name}","Revision":{revision},"Created":1,"Finalizers":[],"MarkedForDeletion":false}},"Spec":{spec},"Status":null}}"#
    )
}

fn put(state: &(Mutex<Objects>, Condvar), kind: &str, name: &str, spec: &str) -> u64 {
    let mut objects = state.0.lock().unwrap();
    objects.revision += 1;
    let revision = objects.revision;
    let key = (kind.to_owned(), name.to_owned());
    objects.held.insert(key, (revision, spec.to_owned()));
    let event = format!(r#"{{"Object":{},"Removed":false}}"#, object(name, revision, spec));
    objects.events.push((kind.to_owned(), revision, event));
    state.1.notify_all();
    revision
}

fn handle(state: &(Mutex<Objects>, Condvar), request: &Request) -> (u16, String) {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let query: BTreeMap<_, _> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    let path = path.trim_start_matches("/v1/objects/");
    let (kind, name) = path.split_once('/').unwrap_or((path, ""));
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    if request.method == "GET" {
        if let Some(since) = number("Watch") {
            return watch(state, kind, since, number("WaitMs").unwrap_or(30_000));
        }
        let objects = state.0.lock().unwrap();
        if name.is_empty() {
            let items = objects.held.iter().filter(|((held, _), _)| held == kind);
            let items: Vec<_> = items.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
            let revision = objects.revision;
            let items = items.join(",");
            return (200, format!(r#"{{"items":[{items}],"HasMore":false,"StoreRevision":{revision}}}"#));
        }
        let found = objects.held.get(&(kind.to_owned(), name.to_owned()));
        return found.map_or((404, "{}".to_owned()), |(revision, spec)| (200, object(name, *revision, spec)));
    }
    // What the daemons write is `{"Metadata":{"Name":..,"Revision":..},"Spec":..}`.
    let body = String::from_utf8_lossy(&request.body);
    let meta_end = body.find(r#""Spec":"#).unwrap_or(0);
    let (meta, spec) = body.split_at(meta_end);
    let spec = spec.trim_start_matches(r#""Spec":"#).trim_end().trim_end_matches('}');
    let after = |key: &str| meta.find(key).map(|at| &meta[at + key.len()..]);
    let named = after(r#""Name":""#).and_then(|rest| rest.split('"').next()).unwrap_or(name).to_owned();
    let digits = |rest: &str| rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().ok();
    let expected = after(r#""Revision":"#).and_then(digits);
    let current = state.0.lock().unwrap().held.get(&(kind.to_owned(), named.clone())).cloned();
    match (request.method.as_str(), current) {
        ("POST", Some((revision, old))) => (409, object(&named, revision, &old)),
        ("PUT", Some((revision, old))) if expected.is_some_and(|expected| expected != revision) => {
            (409, object(&named, revision, &old))
        }
        ("PUT", None) => (404, "{}".to_owned()),
        ("POST" | "PUT", _) => {
            let revision = put(state, kind, &named, spec);
            (200, object(&named, revision, spec))
        }
        _ => (400, "{}".to_owned()),
    }
}

fn watch(state: &(Mutex<Objects>, Condvar), kind: &str, since: u64, wait_ms: u64) -> (u16, String) {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    let mut objects = state.0.lock().unwrap();
    loop {
        let events = objects.events.iter().filter(|(of, revision, _)| of == kind && *revision > since);
        let events: Vec<_> = events.map(|(_, _, event)| event.as_str()).collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let revision = objects.revision;
            let events = events.join(",");
            return (200, format!(r#"{{"events":[{events}],"StoreRevision":{revision}}}"#));
        }
        objects = state.1.wait_timeout(objects, left).unwrap().0;
    }
}

/// Starts a worker and registers it; `serve` answers each request on the writer that it gets, and returns
/// whether the connection stays open.
pub fn start_worker<F>(store: &Store, id: &str, service: &str, stage: Option<&str>, slots: u32, serve: F)
where
    F: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let own = id.to_owned();
    accept(listener, move |stream| {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != own {
                let headers = format!("Not-Run: 1\r\nRequest-Id: {}\r\n", request.header("request-id"));
                if respond(&mut writer, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            if !serve(&request, &mut writer) {
                return;
            }
        }
    });
    let stage = stage.map_or(String::new(), |stage| format!(r#","Stage":"{stage}","Models":[{{"Name":"m","Version":1,"Adapters":[]}}]"#));
    store.put(
        "servers",
        id,
        &format!(
            r#"{{"Service":"{service}","Address":"{address}","Zone":"{ZONE}","Version":"v1","Slots":{slots},"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":1790000000000{stage}}}"#
        ),
    );
}

/// Starts `count` workers of the plain service `app`, which answer after 30 ms.
pub fn start_services(store: &Store, count: usize, runs: &Arc<AtomicUsize>) {
    for i in 0..count {
        let id = format!("i-app{i}");
        let stamp = id.clone();
        let runs = Arc::clone(runs);
        start_worker(store, &id, "app", None, 6, move |request, writer| {
            runs.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(30));
            let id = request.header("request-id");
            let headers = format!("Request-Id: {id}\r\nServer-Stamp: {stamp}.{id}\r\n");
            respond(writer, 200, &headers, b"done").is_ok()
        });
    }
}

/// The operator's configuration; `timeout_ms` is that of the stream route.
pub fn config(timeout_ms: u64) -> String {
    format!(
        r#"{{"Version":3,"Routes":[{{"Name":"orders","Hostname":"shop.example","PathPrefix":"/orders/","Kind":"unsafe","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":1}},{{"Name":"stock","Hostname":"shop.example","PathPrefix":"/stock/","Kind":"safe","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":2}},{{"Name":"sums","Hostname":"shop.example","PathPrefix":"/sums/","Kind":"stream","TimeoutMs":{timeout_ms},"TargetLatencyMs":900,"TargetGapMs":300,"Priority":1,"Service":"llm","MaxAttempts":2,"Sticky":true,"Resumable":true}}],"Services":[{{"Name":"llm","HealthCheck":"/health","MaxConnections":360,"Protocol":"h1","Tls":false,"Engine":{{"Slots":64,"KvCapacityTokens":107085,"KvTokenBytes":163840,"LinkMbps":7200000.0,"Stride":1,"HandleTtlS":0.5,"SwitchS":6.0,"PinMs":4000.0,"HoldMs":2000.0,"Models":[{{"Name":"m"}}]}}}},{{"Name":"app","HealthCheck":"/health","MaxConnections":96,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// A daemon, started with the command of `deploy/system.toml`. Dropping it ends the process.
pub struct Daemon {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

impl Daemon {
    /// Fills in `deploy/settings.yaml` as the platform does, and starts the daemon.
    pub fn start(folder: &Path, name: &str, store: &Store, memory_mb: usize) -> Self {
        // The ports stay bound until all are chosen, so that they differ.
        let bound: Vec<_> = (0..4).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let addresses: Vec<_> = bound.iter().map(|l| l.local_addr().unwrap()).collect();
        drop(bound);
        let template = fs::read_to_string("deploy/settings.yaml").unwrap();
        let fields = [
            ("NodeName", name.to_owned()),
            ("Zone", ZONE.to_owned()),
            ("Listen.Front", addresses[0].to_string()),
            ("Listen.Ready", addresses[1].to_string()),
            ("Ip", "127.0.0.1".to_owned()),
            ("InternalPortRange.0", addresses[2].port().to_string()),
            ("InternalPortRange.1", addresses[3].port().to_string()),
            ("Provider.Address", store.address.to_string()),
            ("Bounds.GraceS", "8".to_owned()),
            ("Bounds.DrainMs", "2000".to_owned()),
            ("Bounds.ConfigApplyMs", "2000".to_owned()),
            ("Bounds.BudgetSlack", "52".to_owned()),
            ("Limits.CpuShare", "0.25".to_owned()),
            ("Limits.MemoryMb", memory_mb.to_string()),
            ("Limits.MaxFds", "4100".to_owned()),
        ];
        let filled = fields.iter().fold(template, |text, (field, value)| {
            text.replace(&format!("{{{{{field}}}}}"), value)
        });
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, filled).unwrap();
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let child = Command::new("target/release/lentillead")
            .args(["platform", "serve", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Self { callers: addresses[0], readiness: addresses[1], child }
    }

    /// Waits until the daemon reports that it is ready; returns whether it did within 10 s.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the daemon reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: platform\r\n\r\n");
        let mut line = String::new();
        let _ = BufReader::new(stream).read_line(&mut line);
        line.contains(" 200")
    }

    /// Returns a figure of the process in KiB, such as `RssAnon` or `VmHWM`.
    pub fn memory_kb(&self, name: &str) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }

    /// Returns the bytes, in KiB, that callers have sent and the process has not read.
    pub fn unread_kb(&self) -> usize {
        let port = format!(":{:04X}", self.callers.port());
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let rows = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
        // The queue of a listener counts connections, not bytes.
        let own = rows.filter(|row| row.len() > 4 && row[1].ends_with(&port) && row[3] != "0A");
        let unread = own.filter_map(|row| usize::from_str_radix(row[4].split_once(':')?.1, 16).ok());
        unread.sum::<usize>() / 1024
    }

    /// Whether the process still runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends one call on a connection of its own and returns the status of the response.
pub fn call(to: SocketAddr, method: &str, path: &str, id: &str, body: &[u8]) -> Result<u16, String> {
    let text = |error: io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(text)?;
    stream.set_read_timeout(Some(Duration::from_millis(2_500))).map_err(text)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat()).map_err(text)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(text)?;
    line.split_whitespace().nth(1).and_then(|code| code.parse().ok()).ok_or_else(|| "closed without an answer".to_owned())
}

/// `record.txt` of a case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self { file: Mutex::new(File::create(path).unwrap()), start: Instant::now() }
    }

    /// Writes a line, with the time since the start in seconds.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// Returns the folder of the case, from the first argument, and whether its trouble is to be made.
pub fn arguments() -> (PathBuf, bool) {
    let folder = std::env::args().nth(1).expect("the folder of the case is missing");
    (PathBuf::from(folder), std::env::var("TROUBLE").as_deref() != Ok("0"))
}

/// Creates a temporary folder.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// A flag that ends threads.
pub fn flag() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(false))
}
