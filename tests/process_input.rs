//! Invalid input to a real daemon: each gets a clear error and changes nothing.

use {
    super::{
        process::LIMIT,
        process_site::{OPERATOR_KEY, PROFILE, ProcessSite},
    },
    insta::assert_snapshot,
    lentillead::emulator::Site,
    reqwest::{Method, RequestBuilder},
    std::{fmt::Write as _, fs::read_to_string, process::Command},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Duration, sleep, timeout},
    },
};

/// Settings with limits low enough for the tests to exceed them.
const LIMITS: &str =
    "limits: {header_time: 500ms, body_time: 500ms, body_bytes: 65536, header_bytes: 4096}\n";

/// Longer than `header_time` and `body_time` in `LIMITS`.
const OVER_TIME: Duration = Duration::from_millis(1_500);

const COMPLETIONS: &str = "/v1/completions";

/// Sends a request and returns the status and body of its response.
async fn send(request: RequestBuilder) -> String {
    let response = request.timeout(LIMIT).send().await.unwrap();
    let status = response.status().as_u16();
    format!("{status} {}", response.text().await.unwrap())
}

fn request(site: &ProcessSite, method: Method, path: &str) -> RequestBuilder {
    let key = Site::branch_key(PROFILE.branches()[0]);
    request_without_key(site, method, path).bearer_auth(key)
}

fn request_without_key(site: &ProcessSite, method: Method, path: &str) -> RequestBuilder {
    let url = format!("http://{}{path}", site.daemons[0].address("callers"));
    site.client.request(method, url)
}

fn post(site: &ProcessSite, path: &str) -> RequestBuilder {
    request(site, Method::POST, path)
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused() {
    let site = ProcessSite::start(1, LIMITS).await;
    let good = r#"{"model":"price-summary","prompt":"a b c","max_tokens":2}"#;
    let order = "/v1/services/order/1";
    let first = post(&site, order).header("idempotency-key", "k");
    send(first.body("one")).await;
    let cases = [
        (
            "malformed JSON",
            post(&site, COMPLETIONS).body("{\"model\":"),
        ),
        (
            "another type",
            post(&site, COMPLETIONS).body(r#"{"model":1,"prompt":"a"}"#),
        ),
        (
            "no prompt",
            post(&site, COMPLETIONS).body(r#"{"model":"price-summary"}"#),
        ),
        ("wrong method", request(&site, Method::GET, COMPLETIONS)),
        (
            "over-long body",
            post(&site, COMPLETIONS).body("x".repeat(65_537)),
        ),
        (
            "over-long headers",
            post(&site, COMPLETIONS)
                .header("x-long", "x".repeat(4_096))
                .body(good),
        ),
        (
            "wrong key",
            request_without_key(&site, Method::POST, COMPLETIONS)
                .bearer_auth("wrong")
                .body(good),
        ),
        (
            "no key",
            request_without_key(&site, Method::POST, COMPLETIONS).body(good),
        ),
        (
            "unknown kind",
            post(&site, COMPLETIONS).body(good.replace("price", "dream")),
        ),
        (
            "unknown kind of service",
            post(&site, "/v1/services/dream/1"),
        ),
        (
            "a model's kind as a service",
            post(&site, "/v1/services/price-summary/1"),
        ),
        (
            "a service's kind as a model",
            post(&site, COMPLETIONS).body(good.replace("price-summary", "stock")),
        ),
        (
            "bad time-out",
            post(&site, COMPLETIONS)
                .header("request-timeout", "soon")
                .body(good),
        ),
        ("missing idempotency key", post(&site, order).body("one")),
        (
            "empty idempotency key",
            post(&site, order).header("idempotency-key", "").body("one"),
        ),
        (
            "reused idempotency key",
            post(&site, order)
                .header("idempotency-key", "k")
                .body("two"),
        ),
        ("no such path", post(&site, "/v2/completions").body(good)),
    ];
    let mut seen = String::new();
    for (name, request) in cases {
        writeln!(seen, "{name}: {}", send(request).await).unwrap();
    }
    let services = site.services_seen().await;
    let runs: usize = services[0].runs.values().map(Vec::len).sum();
    let engines = site.engines_seen().await;
    let attempts: u64 = engines.iter().map(|engine| engine.totals.runs).sum();
    writeln!(seen, "runs at the service: {runs}, at engines: {attempts}").unwrap();
    assert_snapshot!("process_bad_requests", seen);
}

/// Sends `parts` over a new TCP connection and returns the first line of the response, or
/// "closed" if there is none.
async fn send_raw(address: &str, parts: &[&str]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    for part in parts {
        stream.write_all(part.as_bytes()).await.unwrap();
    }
    read_first_line(&mut stream).await
}

async fn read_first_line(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 4_096];
    while !text.contains(&b'\n') {
        let read = timeout(LIMIT, stream.read(&mut buffer)).await;
        match read.expect("a response or the end of the connection") {
            Ok(0) | Err(_) => return "closed".to_owned(),
            Ok(count) => text.extend_from_slice(&buffer[..count]),
        }
    }
    let text = String::from_utf8_lossy(&text);
    text.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_senders_are_disconnected_and_idle_connections_are_not() {
    let site = ProcessSite::start(1, LIMITS).await;
    let callers = site.daemons[0].address("callers");
    let operators = site.daemons[0].address("operators");
    let key = Site::branch_key(PROFILE.branches()[0]);
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\ncontent-length: 50\r\n\r\n"
    );
    let partial = "GET /healthz HTTP/1.1\r\nhost: a\r\n";
    let mut seen = String::new();
    writeln!(
        seen,
        "half a head, callers: {}",
        send_raw(&callers, &[partial]).await
    )
    .unwrap();
    writeln!(
        seen,
        "half a head, operators: {}",
        send_raw(&operators, &[partial]).await
    )
    .unwrap();
    writeln!(
        seen,
        "half a body: {}",
        send_raw(&callers, &[&head, "{\"model\""]).await
    )
    .unwrap();

    let mut idle = TcpStream::connect(&operators).await.unwrap();
    sleep(OVER_TIME).await;
    for name in ["idle from the start", "idle after an answer"] {
        let head = format!("{partial}\r\n");
        idle.write_all(head.as_bytes()).await.unwrap();
        writeln!(seen, "{name}: {}", read_first_line(&mut idle).await).unwrap();
        sleep(OVER_TIME).await;
    }
    idle.write_all(partial.as_bytes()).await.unwrap();
    writeln!(
        seen,
        "half a third head: {}",
        read_first_line(&mut idle).await
    )
    .unwrap();

    let mut complete = String::new();
    let body = r#"{"model":"price-summary","prompt":"a b","max_tokens":900,"stream":true}"#;
    let request = post(&site, COMPLETIONS).body(body);
    let answer = request.send().await.unwrap().text().await.unwrap();
    write!(complete, "{}", answer.trim_end().ends_with("data: [DONE]")).unwrap();
    writeln!(seen, "an answer longer than the limit is whole: {complete}").unwrap();
    assert_snapshot!("process_slow_senders", seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_sheets_change_nothing() {
    let site = ProcessSite::start(1, "").await;
    let good = read_to_string(format!("examples/{}/sheet.csv", PROFILE.name())).unwrap();
    let mut rows: Vec<_> = good.lines().map(str::to_owned).collect();
    let middle = rows.len() / 2;
    rows[middle] = rows[middle].replacen(',', ",not a kind,", 1);
    let mut latin = good.clone().into_bytes();
    let last = latin.len() - 3;
    latin[last] = 0xe9;
    let repeated = format!("{good}{}\n", good.lines().nth(1).unwrap());
    let foreign = good.replace("alsofalu,", "elsewhere,");
    let mut large = good.lines().next().unwrap().to_owned();
    while large.len() <= 1 << 20 {
        write!(
            large,
            "\nkovacsret,kind-{},ledger,0,,,,idempotent,900,,,",
            large.len()
        )
        .unwrap();
    }
    let files = [
        ("bad-row.csv", rows.join("\n").into_bytes()),
        ("not-utf-8.csv", latin),
        ("twice.csv", repeated.into_bytes()),
        ("foreign.csv", foreign.into_bytes()),
        ("1-mb.csv", large.into_bytes()),
        ("empty.csv", Vec::new()),
    ];
    let mut seen = String::new();
    for (name, text) in files {
        let path = site.file(name, text);
        let output = site.submit(&path);
        let stderr = String::from_utf8_lossy(&output.stderr).replace(&path, name);
        let stderr: Vec<_> = stderr.lines().take(6).collect();
        let status = output.status.code();
        writeln!(seen, "{name}: exit {status:?}\n  {}", stderr.join("\n  ")).unwrap();
    }
    let url = format!("http://{}/v1/sheet", site.daemons[0].address("operators"));
    let shown = site.client.get(&url).bearer_auth(OPERATOR_KEY);
    let shown = shown.send().await.unwrap().text().await.unwrap();
    writeln!(
        seen,
        "the sheet in force is the shipped one: {}",
        shown.lines().count() == good.lines().count()
    )
    .unwrap();
    let wrong_key = site
        .client
        .put(format!("{url}?base=1&change=c&author=a"))
        .bearer_auth("wrong");
    writeln!(seen, "wrong key: {}", send(wrong_key.body(good)).await).unwrap();
    assert_snapshot!("process_bad_sheets", seen);
}

#[test]
fn a_misspelt_settings_key_starts_no_daemon() {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("settings.yaml");
    let text = read_to_string("examples/kovacsreti/settings.yaml").unwrap();
    std::fs::write(&path, text.replace("platform:", "platfrom:")).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_lentillead"))
        .args(["serve", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_snapshot!(
        "process_bad_settings",
        format!("exit {:?}\n{stderr}", output.status.code())
    );
}
