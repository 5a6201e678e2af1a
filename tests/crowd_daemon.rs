//! A daemon on the platform, with a store and one service, that crowds of callers send to.

use {
    super::{crowd::ordinary, process::Process, process_site::until},
    lentillead_soak::{StoreStandIn, operator_config},
    serde_json::{Value, json},
    std::{fs::write, net::SocketAddr},
    tempfile::TempDir,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Start of the heads that a crowd sends.
pub const HEAD: &str = "POST /read/crowd HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\n";

/// An ordinary request.
pub const ORDINARY: &str = "POST /read/one HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\n\
    Connection: close\r\nContent-Length: 5\r\n\r\nhello";

/// A running daemon with its surroundings; dropping it kills the process.
pub struct CrowdDaemon {
    pub process: Process,
    /// Address of the listener for callers.
    pub address: SocketAddr,
    /// Addresses of the other listeners: `peers`, `readiness`, `metrics`.
    pub others: [SocketAddr; 3],
    _store: StoreStandIn,
    _folder: TempDir,
}

impl CrowdDaemon {
    /// Starts a daemon with the settings `extra` beside the required ones, and waits until it serves
    /// requests. Bodies have at most `body` bytes; the system lets the process open `descriptors`.
    pub async fn start(extra: Value, body: usize, descriptors: Option<u32>) -> Self {
        let store = StoreStandIn::start().await.unwrap();
        configure(&store, start_service().await, body);
        let address = free_address().await;
        let others = [
            free_address().await,
            free_address().await,
            free_address().await,
        ];
        let [peers, readiness, metrics] = others;
        let mut settings = json!({
            "host": "front-1", "zone": "zone-a", "store": store.address(), "peer_key": "key",
            "grace_s": 8, "retry_slack": 50,
            "listen": {
                "callers": address, "readiness": readiness, "peers": peers, "metrics": metrics,
            },
        });
        let fields = settings.as_object_mut().unwrap();
        fields.extend(extra.as_object().unwrap().clone());
        let folder = TempDir::new().unwrap();
        let path = folder.path().join("settings.yaml");
        write(&path, settings.to_string()).unwrap();
        let arguments = ["platform", "serve", "--settings", path.to_str().unwrap()];
        let process = match descriptors {
            Some(limit) => Process::start_limited(&arguments, "\"started\"", limit),
            None => Process::start(&arguments, "\"started\""),
        };
        until("the daemon serves requests", async || {
            ordinary(address, ORDINARY).await.contains("200")
        })
        .await;
        Self {
            process,
            address,
            others,
            _store: store,
            _folder: folder,
        }
    }
}

/// Returns a loopback address that was free a moment ago.
async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Starts a service that answers each request once its head has arrived.
async fn start_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Serves one request of a connection.
async fn serve(mut stream: TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let length = value("content-length: ").map_or(0, |length| length.parse().unwrap());
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    let response = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: s\r\nConnection: close\r\n\
         Content-Length: 2\r\n\r\nok",
        value("request-id: ").unwrap_or_default(),
    );
    stream.write_all(response.as_bytes()).await.ok()
}

/// Fills a store with one route, whose bodies have at most `body` bytes, and the service at `address`.
fn configure(store: &StoreStandIn, address: SocketAddr, body: usize) {
    let route = json!({
        "Name": "read", "Hostname": "a.example", "PathPrefix": "/read/", "Kind": "safe",
        "TimeoutMs": 4000, "TargetLatencyMs": 2000, "Priority": 1, "Service": "ledger",
        "MaxAttempts": 3, "Resumable": false,
    });
    let mut config = operator_config(1, &[route], body as u64);
    // Else the time limit would end the crowd's requests during the test.
    config["Limits"]["IdleTimeoutMs"] = json!(120_000);
    store.put("config", "main", &config);
    let worker = json!({
        "Service": "ledger", "Address": address.to_string(), "Zone": "zone-a", "Version": "v1",
        "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1,
    });
    store.put("servers", "s1", &worker);
}
