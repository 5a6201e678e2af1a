//! Case 6: callers that send large bodies of legal size and stop just short of their end.

mod lab;

use {
    lab::{arguments, call, config, flag, start_services, temporary_folder, Daemon, Record, Store},
    std::{
        env,
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        process::{exit, Command, Stdio},
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Memory of a `front` machine, `Limits.MemoryMb`, in MiB.
const MEMORY_MB: usize = 110;

/// Bytes of each body; the configuration allows 4,194,304.
const BODY_BYTES: usize = 200_000;

/// Bytes of one header, within `MaxHeaderBytes` of 16,384 for all of them.
const HEADER_BYTES: usize = 14_000;

/// Callers of each process of the crowd, and number of processes.
const CALLERS: usize = 800;
const PROCESSES: usize = 3;

/// Time within which the callers begin.
const ARRIVAL: Duration = Duration::from_millis(1_500);

/// Time for which the crowd stays.
const STAY: Duration = Duration::from_secs(15);

fn main() {
    if let Some(to) = env::args().nth(2) {
        return crowd(to.parse().unwrap());
    }
    let (folder, trouble) = arguments();
    let record = Record::create(&folder.join("record.txt"));
    let temporary = temporary_folder("review-crowd");
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
    record.line(&format!("daemon ready; RssAnon {} KiB", daemon.memory_kb("RssAnon")));
    let done = flag();
    let callers = daemon.callers;
    let ordinary = {
        let done = Arc::clone(&done);
        thread::spawn(move || {
            let (mut answered, mut failed) = (0, 0);
            while !done.load(Ordering::SeqCst) {
                let id = format!("ordinary{}", answered + failed);
                match call(callers, "POST", "/orders/1", &id, b"sacks") {
                    Ok(200) => answered += 1,
                    _ => failed += 1,
                }
                thread::sleep(Duration::from_millis(200));
            }
            (answered, failed)
        })
    };
    let mut crowd = Vec::new();
    if trouble {
        record.line(&format!(
            "{} callers begin to send POST /orders/ with bodies of {BODY_BYTES} bytes, all but the last byte",
            CALLERS * PROCESSES
        ));
        for _ in 0..PROCESSES {
            let own = env::current_exe().unwrap();
            let child = Command::new(own).arg(&folder).arg(callers.to_string()).stdout(Stdio::piped()).spawn();
            crowd.push(child.unwrap());
        }
    }
    let end = Instant::now() + STAY + Duration::from_secs(2);
    let (mut peak, mut peak_with_unread) = (0, 0);
    let mut alive = true;
    while Instant::now() < end && alive {
        let now = daemon.memory_kb("RssAnon");
        peak_with_unread = peak_with_unread.max(now + daemon.unread_kb());
        if now > peak + 4_096 {
            record.line(&format!("daemon RssAnon {now} KiB"));
        }
        peak = peak.max(now);
        alive = daemon.is_alive();
        thread::sleep(Duration::from_millis(10));
    }
    done.store(true, Ordering::SeqCst);
    for mut child in crowd {
        let mut text = String::new();
        let _ = child.stdout.take().unwrap().read_to_string(&mut text);
        let _ = child.wait();
        record.line(text.trim());
    }
    let (answered, failed) = ordinary.join().unwrap();
    record.line(&format!(
        "ordinary calls answered with 200: {answered}, others: {failed}; runs at the workers: {}",
        runs.load(Ordering::SeqCst)
    ));
    record.line(&format!("peak of RssAnon and unread bytes together {peak_with_unread} KiB"));
    record.line(&format!(
        "daemon alive: {alive}; peak RssAnon {peak} KiB, peak resident (VmHWM) {} KiB; the machine has {} KiB",
        daemon.memory_kb("VmHWM"),
        MEMORY_MB * 1024
    ));
    drop(daemon);
    let _ = std::fs::remove_dir_all(&temporary);
    // What the process has allocated, without its program file, and bytes that it has received and not yet read,
    // which DEPLOY.md counts.
    let broken = !alive || peak_with_unread > MEMORY_MB * 1024;
    record.line(if broken { "BROKEN: Fault, memory over the limit" } else { "held" });
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
    let mut ends = std::collections::BTreeMap::new();
    for caller in callers {
        *ends.entry(caller.join().unwrap()).or_insert(0) += 1;
    }
    println!("crowd process: {ends:?}");
}

/// Sends a body but for its last byte, and stays open.
fn caller(to: SocketAddr, number: usize, end: Instant) -> &'static str {
    thread::sleep(ARRIVAL * number as u32 / CALLERS as u32);
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(5)) else {
        return "no connection";
    };
    let id = format!("{}-{number}", std::process::id());
    let filler = "a".repeat(HEADER_BYTES);
    let head = format!(
        "POST /orders/{number} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\nX-Note: {filler}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let body = vec![b'x'; BODY_BYTES - 1];
    let _ = stream.set_write_timeout(Some(STAY));
    if stream.write_all(head.as_bytes()).is_err() {
        return "closed while sending";
    }
    for piece in body.chunks(16 << 10) {
        if stream.write_all(piece).is_err() {
            return "closed while sending";
        }
    }
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let mut answer = [0; 12];
    match stream.read(&mut answer) {
        Ok(0) => "closed without an answer",
        Ok(_) if answer.starts_with(b"HTTP/1.1 503") => "answered 503",
        Ok(_) => "answered otherwise",
        Err(_) => "open until the end, or reset",
    }
}
