//! `OperatorListener`: keys, body limits, sheet requests, status and drain; also the exit statuses
//! of `sheet submit` and the format of log lines.

use {
    argh::FromArgs,
    insta::{assert_debug_snapshot, assert_json_snapshot, assert_snapshot},
    lentillead::{
        board::{Blackboard, Host, HostState, Rule, Sheet, Tick, Writers},
        border::{
            LogLevel, LogSettings, MAX_SHEET_BYTES, OperatorContext, OperatorListener,
            PlatformClient, SettingsBuilder, start_logs,
        },
        command::{ExitStatus, SheetSubmit},
        control::SheetStore,
        fake::{FakePlatform, PlatformSettings},
        key::RequestId,
        port::{MonoClock, Peer, PeerCall, PeerError, PeerReply, RequestLog},
    },
    prometheus_client::registry::Registry,
    reqwest::{Client, Method},
    std::{fmt::Write, fs, sync::Arc, time::Duration},
    tokio_util::sync::CancellationToken,
};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Operator key in the example settings.
const KEY: &str = "example-operator-key";
const SHEET: &[u8] = include_bytes!("../examples/trin-cymru/sheet.csv");
const FAULTY: &[u8] = include_bytes!("sheets/faulty.csv");

/// A peer client whose calls all fail before they are sent.
#[derive(Clone)]
struct UnreachablePeer;

impl Peer for UnreachablePeer {
    async fn call(&self, address: &str, _: PeerCall) -> Result<PeerReply, PeerError> {
        Err(PeerError::Unsent(address.to_owned()))
    }
}

struct Fixture {
    _fake: FakePlatform,
    store: SheetStore<PlatformClient>,
    writers: Writers,
    drain: CancellationToken,
    client: Client,
    base: String,
}

impl Fixture {
    async fn start() -> Self {
        let fake = FakePlatform::start(PlatformSettings::default())
            .await
            .unwrap();
        let platform = PlatformClient::new(&fake.url(), TIMEOUT).unwrap();
        let store = SheetStore::new(platform);
        let settings = SettingsBuilder::new("own", "a", &fake.address().to_string())
            .keys(KEY, "peer-key-for-tests")
            .branch("caernarfon", "key-of-caernarfon")
            .branch("caerdydd", "key-of-caerdydd")
            .build();
        let (board, mut writers) = Blackboard::new();
        writers.branches.update(|branches| {
            for branch in &settings.branches {
                branches.insert(&branch.name, branch.clone());
            }
        });
        writers.members.update(|members| {
            members.own = members.hosts.insert("own", host("own", HostState::Alive));
            members
                .hosts
                .insert("other", host("other", HostState::Suspect));
            members.hosts.insert("gone", host("gone", HostState::Dead));
        });
        let drain = CancellationToken::new();
        let operator = OperatorContext {
            board,
            store: store.clone(),
            peer: UnreachablePeer,
            peer_time: TIMEOUT,
            clock: MonoClock::start(),
            registry: Arc::new(Registry::default()),
            drain: drain.clone(),
            key: settings.keys.operators,
            limits: settings.limits,
        };
        let listener = OperatorListener::bind(settings.listen.operators, operator).unwrap();
        let base = format!("http://{}", listener.address().unwrap());
        tokio::spawn(listener.serve(CancellationToken::new()));
        Self {
            _fake: fake,
            store,
            writers,
            drain,
            client: Client::new(),
            base,
        }
    }

    /// Sends a request; returns method, path, status and body as one line.
    async fn call(&self, method: Method, path: &str, key: &str, body: &[u8]) -> String {
        let url = format!("{}{path}", self.base);
        let request = self.client.request(method.clone(), url).bearer_auth(key);
        let response = request.body(body.to_vec()).send().await.unwrap();
        let status = response.status().as_u16();
        let text = response.text().await.unwrap();
        format!("{method} {path}: {status} {text}")
    }

    async fn put(&self, path: &str, body: &[u8]) -> String {
        self.call(Method::PUT, path, KEY, body).await
    }

    async fn get(&self, path: &str) -> String {
        self.call(Method::GET, path, KEY, b"").await
    }
}

fn host(name: &str, state: HostState) -> Host {
    Host {
        name: name.to_owned(),
        zone: "a".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: 1,
        state,
        changed_at: Tick(0),
        refutations: 0,
        cpu_hundredths: 0,
    }
}

#[tokio::test]
async fn keys_and_limits_are_checked() {
    let fixture = Fixture::start().await;
    let mut seen = String::new();
    for (method, path) in [
        (Method::GET, "/healthz"),
        (Method::GET, "/readyz"),
        (Method::GET, "/metrics"),
        (Method::GET, "/v1/status"),
        (Method::PUT, "/v1/sheet?base=0&change=c&author=a"),
        (Method::POST, "/v1/drain"),
    ] {
        let line = fixture.call(method, path, "example-operator-kez", SHEET);
        writeln!(seen, "{}", line.await).unwrap();
    }
    let mut latin = SHEET.to_vec();
    latin[200] = 0xe9;
    let large = vec![b'x'; MAX_SHEET_BYTES + 1];
    let path = "/v1/sheet?base=0&change=c&author=a";
    writeln!(seen, "{}", fixture.put(path, &latin).await).unwrap();
    writeln!(seen, "{}", fixture.put(path, &large).await).unwrap();
    writeln!(seen, "{}", fixture.put(path, FAULTY).await).unwrap();
    writeln!(seen, "{}", fixture.put("/v1/sheet?base=x", SHEET).await).unwrap();
    writeln!(seen, "{}", fixture.get("/v1/nothing").await).unwrap();
    assert!(!fixture.drain.is_cancelled());
    assert_eq!(fixture.store.history().await.unwrap(), []);
    assert_snapshot!("operator_refusals", seen);
}

#[tokio::test]
async fn a_sheet_is_submitted_shown_and_compared() {
    let mut fixture = Fixture::start().await;
    let next = String::from_utf8(SHEET.to_vec()).unwrap();
    let next = next.replace(
        "note-summary,note-prefill/note-decode,3",
        "note-summary,p/d,4",
    );
    let mut seen = Vec::new();
    for (path, body) in [
        ("/v1/sheet?base=0&change=one&author=anna", SHEET),
        ("/v1/sheet?base=0&change=two&author=bela", next.as_bytes()),
        ("/v1/sheet?base=1&change=two&author=bela", next.as_bytes()),
        ("/v1/sheet?base=1&change=two&author=bela", next.as_bytes()),
    ] {
        seen.push(fixture.put(path, body).await);
    }
    let (revision, rules) = fixture.store.current().await.unwrap();
    let rules = rules.into_values().flatten().collect::<Vec<Rule>>();
    fixture.writers.sheet.publish(Sheet::new(revision, rules));
    for path in [
        "/v1/sheet",
        "/v1/sheet?revision=9",
        "/v1/sheet/diff?from=1&to=2",
        "/v1/status",
        "/v1/status?own=true",
    ] {
        seen.push(fixture.get(path).await);
    }
    let history = fixture.store.history().await.unwrap();
    let history = history
        .iter()
        .map(|change| (change.revision, &change.author));
    seen.push(format!("{:?}", history.collect::<Vec<_>>()));
    seen.push(fixture.call(Method::POST, "/v1/drain", KEY, b"").await);
    fixture.drain.cancelled().await;
    assert_snapshot!("operator_sheet", seen.join("\n"));
}

/// Runs `sheet submit` with the operator key of the example settings.
async fn submit(fixture: &Fixture, file: &str, more: &[&str]) -> ExitStatus {
    let daemon = fixture.base.trim_start_matches("http://");
    let settings = "examples/trin-cymru/settings.yaml";
    let words = [&[file, "--daemon", daemon, "--settings", settings], more].concat();
    let command = SheetSubmit::from_args(&["submit"], &words).unwrap();
    let result = command.run().await;
    result.map_or_else(|error| error.status(), |()| ExitStatus::Done)
}

#[tokio::test]
async fn submit_waits_for_every_daemon() {
    const FILE: &str = "examples/trin-cymru/sheet.csv";

    let mut fixture = Fixture::start().await;
    let behind = submit(&fixture, FILE, &["--wait", "--timeout", "0"]).await;
    let (revision, rules) = fixture.store.current().await.unwrap();
    let rules = rules.into_values().flatten().collect::<Vec<Rule>>();
    fixture.writers.sheet.publish(Sheet::new(revision, rules));
    let silent = submit(&fixture, FILE, &["--wait", "--timeout", "0"]).await;
    fixture
        .writers
        .members
        .update(|members| members.hosts.remove("other"));
    let in_force = submit(&fixture, FILE, &["--wait"]).await;
    let conflict = submit(&fixture, FILE, &["--base", "0"]).await;
    let faulty = submit(&fixture, "tests/sheets/faulty.csv", &[]).await;
    let usage = submit(&fixture, FILE, &["--author", "a b"]).await;
    fixture.base = "127.0.0.1:1".to_owned();
    let unreachable = submit(&fixture, FILE, &["--base", "1"]).await;
    assert_eq!(revision, 1);
    assert_debug_snapshot!(
        "submit_statuses",
        [
            behind,
            silent,
            in_force,
            conflict,
            faulty,
            usage,
            unreachable
        ]
    );
}

#[test]
fn log_lines_are_json_with_key_values() {
    let name = format!("lentillead-log-{}.jsonl", std::process::id());
    let path = std::env::temp_dir().join(name);
    let settings = LogSettings {
        level: LogLevel::Info,
        file: Some(path.clone()),
    };
    start_logs(&settings).unwrap();
    let line = RequestLog {
        request: RequestId {
            host: 1,
            incarnation: 2,
            sequence: 3,
        },
        branch: "caerdydd",
        kind: "diary",
        attempt: 0,
        endpoint: "salon-1",
    };
    line.write(log::Level::Debug, "not written");
    line.write(log::Level::Info, "answered");
    log::logger().flush();
    let text = fs::read_to_string(&path).unwrap();
    fs::remove_file(&path).unwrap();
    let lines = text.lines().filter(|line| line.contains("salon-1"));
    let lines = lines.map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    let parts = lines.map(|line| {
        (
            line["level"].clone(),
            line["message"].clone(),
            line["kvs"].clone(),
        )
    });
    assert_json_snapshot!("log_lines", parts.collect::<Vec<_>>());
}
