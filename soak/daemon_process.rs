use {
    super::SoakError,
    rand::RngExt,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        env,
        fs::{self, File, OpenOptions},
        io,
        net::{SocketAddr, TcpListener},
        ops::Range,
        path::{Path, PathBuf},
        process::Stdio,
        sync::atomic::{AtomicI32, Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        process::{Child, Command},
        sync::{Mutex, MutexGuard},
        time::{sleep, timeout},
    },
};

/// Longest time for a daemon to become ready.
const READY_TIME: Duration = Duration::from_secs(20);

/// Wait between two questions whether a daemon is ready.
const READY_WAIT: Duration = Duration::from_millis(50);

/// Ports of daemons.
const PORTS: Range<u16> = 12_000..32_000;

/// Time that a daemon has to stop, in seconds.
pub const GRACE_S: u64 = 8;

/// Retries that all daemons together may make beyond their share.
pub const RETRY_SLACK: u64 = 50;

/// One daemon, a process of its own.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Name of its host.
    pub name: String,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Its log.
    pub log: PathBuf,
    settings: PathBuf,
    readiness: SocketAddr,
    child: Mutex<Option<Child>>,
    id: AtomicI32,
    turn: Mutex<()>,
}

impl DaemonProcess {
    /// Writes the settings of the daemon `name`, which reaches the store at `store`.
    pub fn prepare(folder: &Path, name: &str, store: SocketAddr) -> io::Result<Self> {
        let [callers, readiness, peers, metrics] = free_ports()?;
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "host: {name}\nzone: zone-a\nlisten:\n  callers: {callers}\n  readiness: {readiness}\n  \
             peers: {peers}\n  metrics: {metrics}\nstore: {store}\npeer_key: soak\n\
             grace_s: {GRACE_S}\nretry_slack: {RETRY_SLACK}\n"
        );
        fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            callers,
            log: folder.join(format!("{name}.log")),
            settings,
            readiness,
            child: Mutex::default(),
            id: AtomicI32::new(0),
            turn: Mutex::default(),
        })
    }

    /// Waits until nobody else ends and starts the process.
    pub async fn turn(&self) -> MutexGuard<'_, ()> {
        self.turn.lock().await
    }

    /// Starts the process.
    pub async fn start(&self) -> io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = self.spawn(log)?;
        let id = child.id().unwrap_or_default().cast_signed();
        self.id.store(id, Ordering::Relaxed);
        *self.child.lock().await = Some(child);
        Ok(())
    }

    fn spawn(&self, log: File) -> io::Result<Child> {
        Command::new(env::current_exe()?)
            .args(["platform", "serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Waits until the daemon says that it is ready.
    pub async fn wait_ready(&self) -> Result<(), SoakError> {
        let ready = async {
            while !is_ready(self.readiness).await {
                sleep(READY_WAIT).await;
            }
        };
        timeout(READY_TIME, ready)
            .await
            .map_err(|_elapsed| SoakError::Unready {
                name: self.name.clone(),
                log: self.log.clone(),
            })
    }

    /// Sends `signal` to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(self.id.load(Ordering::Relaxed));
        if let Some(id) = id
            && let Err(e) = kill_process(id, signal)
        {
            eprintln!("soak: {signal:?} did not reach {}: {e}", self.name);
        }
    }

    /// Waits until the process has ended; whether it ended within `time`.
    pub async fn ended(&self, time: Duration) -> bool {
        let mut child = self.child.lock().await;
        let Some(running) = child.as_mut() else {
            return true;
        };
        let ended = timeout(time, running.wait()).await.is_ok();
        if ended {
            self.id.store(0, Ordering::Relaxed);
            *child = None;
        }
        ended
    }

    /// Whether the process has ended although nobody waits for its end.
    pub fn has_failed(&self) -> bool {
        let child = self.child.try_lock();
        child.is_ok_and(|mut child| {
            let running = child.as_mut();
            let failed = running.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
            if failed {
                // Its id may soon be another process's.
                self.id.store(0, Ordering::Relaxed);
                *child = None;
            }
            failed
        })
    }
}

/// Ports that are free now, outside the range from which connections get theirs: a daemon that
/// is down for a while must find its own again.
fn free_ports() -> io::Result<[SocketAddr; 4]> {
    let mut held = Vec::new();
    while held.len() < 4 {
        let port = rand::rng().random_range(PORTS);
        match TcpListener::bind(("127.0.0.1", port)) {
            Ok(listener) => held.push(listener),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
            Err(e) => return Err(e),
        }
    }
    let address = |i: usize| held[i].local_addr();
    Ok([address(0)?, address(1)?, address(2)?, address(3)?])
}

async fn is_ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await?;
        let head = b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(head).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        io::Result::Ok(answer.starts_with("HTTP/1.1 200"))
    };
    matches!(timeout(READY_WAIT * 10, ask).await, Ok(Ok(true)))
}
