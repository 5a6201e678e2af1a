//! Case 7: a model worker that sends blank lines without end in the body of a stream.

mod lab;

use {
    lab::{arguments, config, respond, start_services, start_worker, temporary_folder, Daemon, Record, Request, Store},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        process::exit,
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The longest time for which the operator wants a stream kept waiting, in milliseconds.
const TIMEOUT_MS: u64 = 2_500;

/// Time after it by which the final answer is there.
const SLACK_MS: u64 = 500;

/// Gap without an event after which a client abandons a stream: four times the objective of 900 ms.
const PATIENCE: Duration = Duration::from_millis(3_600);

/// Streams, and the time between two.
const STREAMS: usize = 450;
const INTERVAL: Duration = Duration::from_millis(45);

/// Events of a stream, and the time between two.
const EVENTS: usize = 40;
const EVENT_TIME: Duration = Duration::from_millis(25);

/// Engines that prefill and that decode.
const PREFILL: usize = 2;
const DECODE: usize = 7;

/// What a client saw of its stream.
struct Seen {
    id: String,
    daemon: usize,
    /// Milliseconds from the request to its end; `None` if the client left.
    ended_ms: Option<u128>,
    /// Whether it ended as complete, and with all events.
    complete: bool,
    events: usize,
    status: String,
    left_ms: u128,
}

fn main() {
    let (folder, trouble) = arguments();
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let temporary = temporary_folder("review-endless");
    let store = Store::start();
    let runs = Arc::new(AtomicUsize::new(0));
    let calls = Arc::new(AtomicUsize::new(0));
    for number in 0..PREFILL {
        let handles = AtomicUsize::new(0);
        start_worker(&store, &format!("i-pre{number}"), "llm", Some("prefill"), 64, move |request, writer| {
            prefill(request, writer, number, &handles)
        });
    }
    for number in 0..DECODE {
        let id = format!("i-dec{number}");
        let (own, runs, record) = (id.clone(), Arc::clone(&runs), Arc::clone(&record));
        let endless = trouble && number == 0;
        start_worker(&store, &id, "llm", Some("decode"), 64, move |request, writer| {
            decode(request, writer, &own, endless, &runs, &record)
        });
    }
    start_services(&store, 3, &calls);
    store.put("config", "main", &config(TIMEOUT_MS));
    let daemons: Vec<_> = (1..=3).map(|n| Daemon::start(&temporary, &format!("front-{n}"), &store, 110)).collect();
    if !daemons.iter().all(Daemon::wait_ready) {
        record.line("a daemon was not ready within 10 s");
        drop(daemons);
        exit(2);
    }
    // The machines start some seconds before the traffic.
    thread::sleep(Duration::from_secs(4));
    record.line(&format!("daemons ready; TimeoutMs {TIMEOUT_MS}; i-dec0 sends blank lines without end: {trouble}"));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let daemon = number % daemons.len();
            let to = daemons[daemon].callers;
            thread::sleep(INTERVAL);
            thread::spawn(move || stream(to, daemon, number))
        })
        .collect();
    let seen: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    drop(daemons);
    let _ = std::fs::remove_dir_all(&temporary);
    exit(judge(&seen, &record, runs.load(Ordering::SeqCst)));
}

/// Applies the two sentences of the rule; returns the exit status.
fn judge(seen: &[Seen], record: &Record, runs: usize) -> i32 {
    let (timeout, bound) = (u128::from(TIMEOUT_MS), u128::from(TIMEOUT_MS + SLACK_MS));
    let (mut whole, mut unanswered, mut late) = (0, 0, 0);
    for seen in seen {
        // A client that left says nothing of the time after that.
        let known_ms = seen.ended_ms.unwrap_or(seen.left_ms);
        let end = seen.ended_ms.map_or(format!("the client left after {} ms", seen.left_ms), |ms| format!("ended after {ms} ms"));
        record.line(&format!(
            "{} at front-{}: {}, {} events, complete: {}, {end}",
            seen.id,
            seen.daemon + 1,
            seen.status,
            seen.events,
            seen.complete
        ));
        whole += usize::from(seen.complete && seen.events == EVENTS);
        if seen.ended_ms.is_none_or(|ms| ms > timeout) && known_ms > timeout {
            unanswered += 1;
            late += usize::from(seen.ended_ms.is_none_or(|ms| ms > bound) && known_ms > bound);
        }
    }
    record.line(&format!("{} streams, {whole} whole; {runs} runs at the workers", seen.len()));
    record.line(&format!("without a final answer at TimeoutMs: {unanswered}; of these also {SLACK_MS} ms later: {late}"));
    let broken = late >= 8 && late * 4 > unanswered && late * 2 > unanswered;
    record.line(if broken { "BROKEN: CONFIG, no final answer 0.5 s after TimeoutMs" } else { "held" });
    i32::from(broken)
}

/// Answers what any model worker answers beside streams; `None` if the request is a stream.
fn common(request: &Request, writer: &mut TcpStream, stage: &str) -> Option<bool> {
    if request.target == "/v1/report" {
        let report = format!(
            r#"{{"Stage":"{stage}","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Busy":false,"Sequence":0,"Waiting":0,"Running":0,"KvUsed":0,"KvTotal":107085,"KvHandles":0}}"#
        );
        return Some(respond(writer, 200, "Content-Type: application/json\r\n", report.as_bytes()).is_ok());
    }
    if request.target == "/v1/order" {
        return Some(respond(writer, 409, "", b"{}").is_ok());
    }
    if request.target == "/v1/hold-take" {
        return Some(respond(writer, 503, "Not-Run: 1\r\n", b"").is_ok());
    }
    if request.method == "DELETE" {
        return Some(respond(writer, 200, "", b"{}").is_ok());
    }
    None
}

fn turn_away(request: &Request, writer: &mut TcpStream) -> bool {
    let headers = format!("Not-Run: 1\r\nRequest-Id: {}\r\n", request.header("request-id"));
    respond(writer, 421, &headers, b"").is_ok()
}

fn prefill(request: &Request, writer: &mut TcpStream, number: usize, handles: &AtomicUsize) -> bool {
    if let Some(open) = common(request, writer, "prefill") {
        return open;
    }
    if request.header("stage") != "prefill" {
        return turn_away(request, writer);
    }
    thread::sleep(Duration::from_millis(60));
    let handle = handles.fetch_add(1, Ordering::SeqCst);
    let body = format!(r#"{{"KvHandle":"{number:04x}{handle:08x}","Tokens":5200,"Version":1}}"#);
    let headers = format!("Content-Type: application/json\r\nRequest-Id: {}\r\n", request.header("request-id"));
    respond(writer, 200, &headers, body.as_bytes()).is_ok()
}

fn decode(request: &Request, writer: &mut TcpStream, own: &str, endless: bool, runs: &AtomicUsize, record: &Record) -> bool {
    if let Some(open) = common(request, writer, "decode") {
        return open;
    }
    if request.header("stage") == "prefill" {
        return turn_away(request, writer);
    }
    let id = request.header("request-id");
    runs.fetch_add(1, Ordering::SeqCst);
    record.line(&format!("{own} runs {id}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {own}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return false;
    }
    if endless {
        // Bytes that are no answer, without end, until the caller closes.
        let chunk = [b"4000\r\n".as_slice(), &[b'\n'; 0x4000], b"\r\n"].concat();
        while writer.write_all(&chunk).is_ok() {}
        record.line(&format!("{own}: the connection of {id} was closed"));
        return false;
    }
    let first: usize = request.header("last-event-id").parse().unwrap_or(0);
    for number in first + 1..=EVENTS {
        thread::sleep(EVENT_TIME);
        let event = format!("id: {number}\ndata: token{number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if writer.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    writer.write_all(b"0\r\n\r\n").is_ok()
}

/// Sends one stream request and reads its response until it ends, or no event has come for too long.
fn stream(to: SocketAddr, daemon: usize, number: usize) -> Seen {
    let id = format!("stream{number}");
    let start = Instant::now();
    let mut seen = Seen { id, daemon, ended_ms: None, complete: false, events: 0, status: "no answer".to_owned(), left_ms: 0 };
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        seen.ended_ms = Some(start.elapsed().as_millis());
        return seen;
    };
    let head = format!(
        "POST /sums/{number} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\nModel: m\r\nToken-Counts: 5200,70\r\nPrompt-Prefix: 5c1e07a2:200,{:x}:5000\r\nDeadline-Ms: 14000\r\nContent-Length: 6\r\n\r\nprices",
        seen.id,
        0x1000_0000 + number
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    let mut last_event = Instant::now();
    let mut head_read = false;
    let mut tail = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        if last_event.elapsed() >= PATIENCE {
            seen.left_ms = start.elapsed().as_millis();
            return seen;
        }
        let count = match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        tail.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&tail);
        if !head_read && text.contains("\r\n\r\n") {
            head_read = true;
            seen.status = text.lines().next().unwrap_or_default().to_owned();
            seen.complete = !text.contains("chunked");
        }
        let events = text.matches("data: ").count();
        if events > 0 {
            seen.events += events;
            last_event = Instant::now();
        }
        if head_read && (text.ends_with("0\r\n\r\n") || seen.complete) {
            seen.complete = true;
            break;
        }
        // Keeps the end, in which the last chunk may begin, without what was counted.
        let keep = tail.len().min(5);
        tail = tail.split_off(tail.len() - keep);
    }
    seen.ended_ms = Some(start.elapsed().as_millis());
    seen
}
