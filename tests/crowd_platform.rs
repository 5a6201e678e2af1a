//! Crowds at the callers' listener of a daemon on the platform.

use {
    super::{
        crowd::{BODY_BYTES, CALLERS, Crowd, Sending, alone, assert_unharmed, ordinary, settle},
        process::Process,
        process_site::until,
    },
    lentillead_soak::{StoreStandIn, operator_config},
    serde_json::json,
    std::{fs::write, net::SocketAddr},
    tempfile::TempDir,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Most descriptors of a daemon whose number is not limited by its test.
const DESCRIPTORS: usize = 120;

/// Descriptors of a daemon whose callers hold connections, and those of them that must stay free.
const FEW_DESCRIPTORS: u32 = 96;
const FREE_DESCRIPTORS: usize = 8;

/// Number of callers that hold connections.
const HOLDERS: usize = 90;

/// Start of the heads that a crowd sends.
const HEAD: &str = "POST /read/crowd HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\n";

/// An ordinary request.
const ORDINARY: &str = "POST /read/one HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\n\
    Connection: close\r\nContent-Length: 5\r\n\r\nhello";

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

/// Fills a store with one route and the service at `address`.
fn configure(store: &StoreStandIn, address: SocketAddr) {
    let route = json!({
        "Name": "read", "Hostname": "a.example", "PathPrefix": "/read/", "Kind": "safe",
        "TimeoutMs": 4000, "TargetLatencyMs": 2000, "Priority": 1, "Service": "ledger",
        "MaxAttempts": 3, "Resumable": false,
    });
    let mut config = operator_config(1, &[route], BODY_BYTES as u64);
    // Else the time limit would end the crowd's requests during the test.
    config["Limits"]["IdleTimeoutMs"] = json!(120_000);
    store.put("config", "main", &config);
    let worker = json!({
        "Service": "ledger", "Address": address.to_string(), "Zone": "zone-a", "Version": "v1",
        "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1,
    });
    store.put("servers", "s1", &worker);
}

/// Has a daemon with `limit` descriptors serve a crowd, and then an ordinary request beside it.
async fn face(kinds: &[Sending], callers: usize, limit: Option<u32>) {
    let _alone = alone().await;
    let store = StoreStandIn::start().await.unwrap();
    configure(&store, start_service().await);
    let address = free_address().await;
    let settings = json!({
        "host": "front-1", "zone": "zone-a", "store": store.address(), "peer_key": "key",
        "grace_s": 8, "retry_slack": 50,
        "listen": {
            "callers": address, "readiness": free_address().await,
            "peers": free_address().await, "metrics": free_address().await,
        },
    });
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("settings.yaml");
    write(&path, settings.to_string()).unwrap();
    let arguments = ["platform", "serve", "--settings", path.to_str().unwrap()];
    let mut daemon = match limit {
        Some(limit) => Process::start_limited(&arguments, "\"started\"", limit),
        None => Process::start(&arguments, "\"started\""),
    };
    until("the daemon serves requests", async || {
        ordinary(address, ORDINARY).await.contains("200")
    })
    .await;
    let crowd = Crowd::send(address, HEAD, kinds, callers).await;
    settle(&daemon).await;
    let answer = ordinary(address, ORDINARY).await;
    let bound = limit.map_or(DESCRIPTORS, |limit| limit as usize - FREE_DESCRIPTORS);
    assert_unharmed(&mut daemon, bound, &answer);
    drop(crowd);
}

/// Bodies that never end must not fill the memory.
#[tokio::test(flavor = "multi_thread")]
async fn platform_survives_bodies_that_lack_their_last_byte() {
    face(&[Sending::Whole, Sending::Pieces], CALLERS, None).await;
}

/// Bodies without an announced length must not fill the memory.
#[tokio::test(flavor = "multi_thread")]
async fn platform_survives_chunked_bodies_without_end() {
    face(&[Sending::LargeChunks], CALLERS, None).await;
}

/// Small chunks must be counted with what they cost beyond their content.
#[tokio::test(flavor = "multi_thread")]
async fn platform_survives_bodies_in_small_chunks() {
    face(&[Sending::SmallChunks], CALLERS, None).await;
}

/// Bodies that are refused for their length must not be read up to the limit first.
#[tokio::test(flavor = "multi_thread")]
async fn platform_survives_bodies_over_the_limit() {
    face(&[Sending::Announced, Sending::Endless], CALLERS, None).await;
}

/// Connections without a request must not use up the descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn platform_survives_connections_without_requests() {
    let kinds = [Sending::Nothing, Sending::HalfHead];
    face(&kinds, HOLDERS, Some(FEW_DESCRIPTORS)).await;
}
