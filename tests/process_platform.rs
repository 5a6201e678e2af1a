//! Signals to a daemon on the platform that runs as a process.

use {
    super::{process::Process, process_site::until},
    insta::assert_json_snapshot,
    lentillead_soak::{StoreStandIn, operator_config},
    rustix::process::Signal,
    serde_json::{Value, json},
    std::{fs::write, net::SocketAddr, time::Duration},
    tempfile::TempDir,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Time for which the service works on a slow request.
const SLOW_TIME: Duration = Duration::from_millis(1_500);

/// Pause between two signals.
const SIGNAL_PAUSE: Duration = Duration::from_millis(40);

/// Length of the body of a response, in bytes.
const BODY: usize = 1 << 20;

/// Returns a loopback address that was free a moment ago.
async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Starts a service whose requests to a path with `slow` take a while.
pub async fn start_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Serves the requests of a connection; returns `None` at its end.
async fn serve(mut stream: TcpStream) -> Option<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).ok()?.to_lowercase();
        if head.contains("slow") {
            sleep(SLOW_TIME).await;
        }
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("request-id: "));
        let response = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: s\r\nContent-Length: {BODY}\r\n\r\n{}",
            id.unwrap_or_default(),
            "x".repeat(BODY)
        );
        stream.write_all(response.as_bytes()).await.ok()?;
    }
}

/// Sends a request; returns the status line and the length of the body, if a response arrives.
pub async fn call(callers: SocketAddr, path: &str) -> Option<(String, usize)> {
    let mut stream = TcpStream::connect(callers).await.ok()?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    Some((head.lines().next()?.to_owned(), body.len()))
}

/// Fills a store with one route and the service at `address`.
pub fn configure(store: &StoreStandIn, address: SocketAddr) {
    let route = json!({
        "Name": "read", "Hostname": "a.example", "PathPrefix": "/read/", "Kind": "safe",
        "TimeoutMs": 4000, "TargetLatencyMs": 2000, "Priority": 1, "Service": "ledger",
        "MaxAttempts": 1, "Resumable": false,
    });
    store.put("config", "main", &operator_config(1, &[route], 1_000));
    let worker = json!({
        "Service": "ledger", "Address": address.to_string(), "Zone": "zone-a", "Version": "v1",
        "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1,
    });
    store.put("servers", "s1", &worker);
}

/// Returns the settings of a daemon.
async fn settings(store: SocketAddr, callers: SocketAddr) -> Value {
    json!({
        "host": "front-1", "zone": "zone-a", "store": store, "peer_key": "key",
        "grace_s": 8, "retry_slack": 50,
        "listen": {
            "callers": callers, "readiness": free_address().await,
            "peers": free_address().await, "metrics": free_address().await,
        },
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn signals_in_series_leave_a_running_request_whole() {
    let store = StoreStandIn::start().await.unwrap();
    configure(&store, start_service().await);
    let callers = free_address().await;
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("settings.yaml");
    write(&path, settings(store.address(), callers).await.to_string()).unwrap();
    let path = path.to_str().unwrap();
    let mut daemon = Process::start(&["platform", "serve", "--settings", path], "\"started\"");
    until("the daemon serves requests", async || {
        let seen = call(callers, "/read/quick").await;
        seen.is_some_and(|(status, _)| status.contains("200"))
    })
    .await;
    let running = tokio::spawn(call(callers, "/read/slow"));
    sleep(SLOW_TIME / 4).await;
    for signal in [
        Signal::HUP,
        Signal::TERM,
        Signal::HUP,
        Signal::TERM,
        Signal::INT,
    ] {
        daemon.signal(signal);
        sleep(SIGNAL_PAUSE).await;
    }
    let during_stop = call(callers, "/read/slow").await;
    let exit = daemon.wait_exit().await;
    assert_json_snapshot!(
        "process_platform_signals",
        json!({"running": running.await.unwrap(), "during_stop": during_stop, "exit": exit})
    );
}
