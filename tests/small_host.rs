//! Crowds at a process on a host with little memory: what the process holds for them stays within it,
//! received bytes that were not read included.

use {
    super::{
        crowd::{Crowd, Requests, Sending, settle},
        process::Process,
    },
    futures_util::future::join_all,
    std::{
        fs::read_to_string,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Memory of the host, in MiB.
pub const MEMORY_MB: u64 = 64;

/// Descriptors that the process may open.
pub const DESCRIPTORS: usize = 800;

/// Number of callers of a crowd.
pub const CALLERS: usize = 300;

/// Longest body that the listeners take in these tests, in bytes.
pub const BODY_BYTES: usize = 4 << 20;

/// Time after which a caller gives up sending.
const SEND_LIMIT: Duration = Duration::from_secs(5);

/// Interval between two looks at the memory of a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// State of a TCP socket that listens, in `/proc/net/tcp`; its queue counts connections.
const LISTENING: &str = "0A";

/// The largest memory of a process so far, and the most descriptors.
///
/// Its memory is what it has allocated, without its program file, and what its connections have received
/// and it has not read.
pub struct ProcessPeak {
    peaks: Arc<Peaks>,
    thread: Option<JoinHandle<()>>,
}

/// What the thread of a `ProcessPeak` has seen.
#[derive(Default)]
struct Peaks {
    /// Allocated memory with unread bytes.
    kb: AtomicU64,
    allocated_kb: AtomicU64,
    descriptors: AtomicU64,
    stop: AtomicBool,
}

impl ProcessPeak {
    /// Looks at `process`, which listens on `addresses`, until the peak is dropped.
    pub fn start(process: &Process, addresses: &[SocketAddr]) -> Self {
        let id = process.id();
        let ports: Vec<_> = addresses.iter().map(SocketAddr::port).collect();
        let peaks = Arc::new(Peaks::default());
        let seen = Arc::clone(&peaks);
        let thread = thread::spawn(move || {
            while !seen.stop.load(Ordering::Relaxed) {
                let allocated = anonymous_kb(id);
                let kb = allocated + (unread_bytes(&ports) >> 10);
                seen.allocated_kb.fetch_max(allocated, Ordering::Relaxed);
                seen.kb.fetch_max(kb, Ordering::Relaxed);
                seen.descriptors
                    .fetch_max(descriptor_count(id), Ordering::Relaxed);
                thread::sleep(LOOK_INTERVAL);
            }
        });
        Self {
            peaks,
            thread: Some(thread),
        }
    }

    /// Asserts that `process` runs, has stayed within the host, and answered with `answer`.
    pub fn assert_within_host(&self, process: &mut Process, answer: &str) {
        let running = process.is_running();
        let kb = self.peaks.kb.load(Ordering::Relaxed);
        let descriptors = self.peaks.descriptors.load(Ordering::Relaxed);
        let allocated = self.peaks.allocated_kb.load(Ordering::Relaxed);
        println!(
            "running {running}, peak {kb} KiB ({allocated} allocated), descriptors {descriptors}, \
             answer {answer}"
        );
        assert!(running, "the process exited");
        assert!(
            kb <= MEMORY_MB << 10,
            "{kb} KiB, bound {} KiB",
            MEMORY_MB << 10
        );
        assert!(
            descriptors <= DESCRIPTORS as u64,
            "{descriptors} descriptors open, bound {DESCRIPTORS}"
        );
        assert_eq!(answer, "HTTP/1.1 200 OK");
    }
}

impl Drop for ProcessPeak {
    fn drop(&mut self) {
        self.peaks.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // It ends by itself, even if a look failed.
            drop(thread.join());
        }
    }
}

/// Returns the memory that the process `id` has allocated, 0 if it has exited.
fn anonymous_kb(id: u32) -> u64 {
    let status = read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kb = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kb.map_or(0, |kb| kb.parse().unwrap())
}

/// Returns the number of descriptors that the process `id` has open, 0 if it has exited.
fn descriptor_count(id: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |open| open.count() as u64)
}

/// Returns the bytes that the connections at `ports` have received and their process has not read.
fn unread_bytes(ports: &[u16]) -> u64 {
    let table = read_to_string("/proc/net/tcp").unwrap();
    let unread = table.lines().skip(1).filter_map(|line| {
        // Number, local address, remote address, state, bytes to send and bytes to read.
        let fields: Vec<_> = line.split_whitespace().take(5).collect();
        let [_, local, _, state, queues] = fields[..] else {
            return None;
        };
        let local = local.rsplit_once(':')?.1;
        let counts = state != LISTENING && ports.contains(&u16::from_str_radix(local, 16).ok()?);
        counts.then(|| u64::from_str_radix(queues.rsplit_once(':')?.1, 16).ok())?
    });
    unread.sum()
}

/// Returns what the callers of a crowd send in turn: most of them `kind`, some a complete body.
pub fn mostly(kind: Sending) -> [Sending; 8] {
    let mut kinds = [kind; 8];
    kinds[7] = Sending::Complete;
    kinds
}

/// Returns the requests of a crowd that sends `kinds` in turn, each after the start `head` of a head.
pub fn requests<'a>(head: &'a str, kinds: &'a [Sending]) -> Requests<'a> {
    Requests {
        head,
        kinds,
        callers: CALLERS,
        body: BODY_BYTES,
        limit: SEND_LIMIT,
    }
}

/// Has crowds send to `process`, one to each listener of `crowds`, and `ask` an ordinary request beside them;
/// asserts that the process stays within its host, and that the answer is a success.
pub async fn face<A>(process: &mut Process, crowds: &[(SocketAddr, Requests<'_>)], ask: A)
where
    A: AsyncFnOnce() -> String,
{
    let addresses: Vec<_> = crowds.iter().map(|(address, _)| *address).collect();
    let peak = ProcessPeak::start(process, &addresses);
    let sending = crowds
        .iter()
        .map(|(address, requests)| Crowd::send(*address, *requests));
    let crowds = join_all(sending).await;
    settle(process).await;
    let answer = ask().await;
    drop(crowds);
    peak.assert_within_host(process, &answer);
}
