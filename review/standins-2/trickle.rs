//! Case 8: callers that send legal bodies piece by piece hold every connection that a daemon grants.

mod lab;

use {
    lab::{arguments, call, config, start_services, temporary_folder, Daemon, Record, Store},
    std::{
        env,
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        process::{exit, Command, Stdio},
        sync::{atomic::AtomicUsize, Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Memory of a `front` machine, `Limits.MemoryMb`, in MiB.
const MEMORY_MB: usize = 110;

/// Bytes of each body; the configuration allows 4,194,304.
const BODY_BYTES: usize = 16_000;

/// Bytes of a piece, and the time between two.
const PIECE_BYTES: usize = 2_300;
const PIECE_TIME: Duration = Duration::from_millis(450);

/// Callers of each process, and number of processes.
const CALLERS: usize = 450;
const PROCESSES: usize = 2;

/// Time for which they go on.
const STAY: Duration = Duration::from_secs(20);

/// `StableWindowMs` of the small deployment, and the number of clients that have to try within it.
const WINDOW: Duration = Duration::from_millis(3_000);
const TRIES: usize = 7;

fn main() {
    if let Some(to) = env::args().nth(2) {
        return crowd(to.parse().unwrap());
    }
    let (folder, trouble) = arguments();
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let temporary = temporary_folder("review-trickle");
    let store = Store::start();
    let runs = Arc::new(AtomicUsize::new(0));
    start_services(&store, 3, &runs);
    store.put("config", "main", &config(14_000));
    let mut daemon = Daemon::start(&temporary, "front-1", &store, MEMORY_MB);
    if !daemon.wait_ready() {
        record.line("the daemon was not ready within 10 s");
        drop(daemon);
        exit(2);
    }
    let callers = daemon.callers;
    let mut crowd = Vec::new();
    if trouble {
        record.line(&format!("{} callers begin to send bodies of {BODY_BYTES} bytes in pieces", CALLERS * PROCESSES));
        for _ in 0..PROCESSES {
            let own = env::current_exe().unwrap();
            let child = Command::new(own).arg(&folder).arg(callers.to_string()).stdout(Stdio::piped()).spawn();
            crowd.push(child.unwrap());
        }
    }
    // Ordinary clients, each with a connection of its own: when it tried, and whether it was answered.
    let tried = Arc::new(Mutex::new(Vec::new()));
    let start = Instant::now();
    let mut clients = Vec::new();
    let (mut number, mut probes, mut ready) = (0, 0, 0);
    while start.elapsed() < STAY {
        // The platform asks once a second.
        if number % 5 == 0 {
            probes += 1;
            ready += usize::from(daemon.is_ready());
        }
        let (tried, record) = (Arc::clone(&tried), Arc::clone(&record));
        clients.push(thread::spawn(move || {
            let at = start.elapsed();
            let result = call(callers, "GET", "/stock/1", &format!("ordinary{number}"), b"");
            record.line(&format!("ordinary{number} sent at {:.3}: {result:?}", at.as_secs_f64()));
            tried.lock().unwrap().push((at, result.is_ok()));
        }));
        number += 1;
        thread::sleep(Duration::from_millis(200));
    }
    for client in clients {
        client.join().unwrap();
    }
    for mut child in crowd {
        let mut text = String::new();
        let _ = child.stdout.take().unwrap().read_to_string(&mut text);
        let _ = child.wait();
        record.line(text.trim());
    }
    let alive = daemon.is_alive();
    drop(daemon);
    let _ = std::fs::remove_dir_all(&temporary);
    let mut tried = tried.lock().unwrap().clone();
    tried.sort();
    let answered = tried.iter().filter(|(_, answered)| *answered).count();
    let (mut longest, mut most) = (Duration::ZERO, 0);
    let (mut from, mut count) = (None, 0);
    for (at, answered) in &tried {
        if *answered {
            (from, count) = (None, 0);
            continue;
        }
        let since = *from.get_or_insert(*at);
        count += 1;
        if *at - since > longest {
            (longest, most) = (*at - since, count);
        }
    }
    record.line(&format!("{} ordinary clients, {answered} answered; daemon alive: {alive}, ready at {ready} of {probes} probes", tried.len()));
    record.line(&format!("longest time without an answer: {:.3} s, {most} clients tried", longest.as_secs_f64()));
    let broken = ready == probes && longest >= WINDOW && most >= TRIES;
    record.line(if broken { "BROKEN: RECOVER, no new connection taken" } else { "held" });
    exit(i32::from(broken));
}

/// Sends from many connections; prints what became of them.
fn crowd(to: SocketAddr) {
    let end = Instant::now() + STAY;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = move || caller(to, number, end);
            thread::Builder::new().stack_size(64 << 10).spawn(caller).unwrap()
        })
        .collect();
    let (mut requests, mut answered, mut closed) = (0, 0, 0);
    for caller in callers {
        let seen = caller.join().unwrap();
        requests += seen.0;
        answered += seen.1;
        closed += seen.2;
    }
    println!("crowd process: {requests} requests begun, {answered} answered, {closed} connections closed by the daemon");
}

/// Sends one request after the other on one kept connection; returns how many were begun and answered, and
/// whether the daemon closed the connection. It does not connect again after that.
fn caller(to: SocketAddr, number: usize, end: Instant) -> (usize, usize, usize) {
    let (mut requests, mut answered) = (0, 0);
    thread::sleep(Duration::from_millis(number as u64 / 2));
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(2)) else {
        return (0, 0, 1);
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    while Instant::now() < end {
        requests += 1;
        if !send(&mut stream, &format!("{}-{number}-{requests}", std::process::id())) {
            return (requests, answered, 1);
        }
        answered += 1;
    }
    (requests, answered, 0)
}

/// Sends one request in pieces and reads the response; returns whether the connection may be used again.
fn send(stream: &mut TcpStream, id: &str) -> bool {
    let head = format!(
        "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let body = vec![b'x'; BODY_BYTES];
    for piece in body.chunks(PIECE_BYTES) {
        thread::sleep(PIECE_TIME);
        if stream.write_all(piece).is_err() {
            return false;
        }
    }
    // The answers are short and come at once.
    let mut buffer = [0; 2_048];
    matches!(stream.read(&mut buffer), Ok(count) if count > 0 && !buffer[..count].windows(17).any(|w| w.eq_ignore_ascii_case(b"connection: close")))
}
