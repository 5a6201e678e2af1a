use {
    super::SoakError,
    rand::RngExt,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        collections::BTreeSet,
        env,
        fs::{self, File, OpenOptions},
        io,
        net::{SocketAddr, TcpListener},
        ops::Range,
        path::{Path, PathBuf},
        process::Stdio,
        sync::{
            PoisonError,
            atomic::{AtomicI32, Ordering},
        },
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

/// Time within which a daemon must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two readiness checks; a check may take ten times as long.
const READY_POLL: Duration = Duration::from_millis(50);

/// Ports of the daemons' listeners; below the ephemeral range of Linux, which starts at 32768.
const PORT_RANGE: Range<u16> = 12_000..32_000;

/// Grace time of a daemon between a stop signal and its exit, in seconds.
pub const GRACE_S: u64 = 8;

/// Default of the retries that all daemons together may make beyond the retry ratio.
pub const RETRY_SLACK: u64 = 50;

/// How a daemon's process has exited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Exit {
    /// With success, as after a stop signal, or before.
    Orderly,
    /// With a failure or by a signal, as this text says.
    Failed(String),
}

/// A daemon that runs as a process and can be restarted with the same settings.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Name of its host.
    pub name: String,
    /// Address of its caller listener.
    pub callers: SocketAddr,
    /// Path of its log file, to which every start appends.
    pub log: PathBuf,
    settings: PathBuf,
    readiness: SocketAddr,
    child: Mutex<Option<Child>>,
    pid: AtomicI32,
    lifecycle: Mutex<()>,
}

impl DaemonProcess {
    /// Chooses ports and writes the settings of the daemon `name`, whose store is at `store`, with `retry_slack`;
    /// does not start the process.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound or the file cannot be written.
    pub fn prepare(
        folder: &Path,
        name: &str,
        store: SocketAddr,
        retry_slack: u64,
    ) -> io::Result<Self> {
        let [callers, readiness, peers, metrics] = free_ports()?;
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "host: {name}\nzone: zone-a\nlisten:\n  callers: {callers}\n  readiness: {readiness}\n  \
             peers: {peers}\n  metrics: {metrics}\nstore: {store}\npeer_key: soak\n\
             grace_s: {GRACE_S}\nretry_slack: {retry_slack}\n"
        );
        fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            callers,
            log: folder.join(format!("{name}.log")),
            settings,
            readiness,
            child: Mutex::default(),
            pid: AtomicI32::new(0),
            lifecycle: Mutex::default(),
        })
    }

    /// Waits for exclusive permission to stop and restart the process.
    pub async fn lock_lifecycle(&self) -> MutexGuard<'_, ()> {
        self.lifecycle.lock().await
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened or the process cannot be spawned.
    pub async fn start(&self) -> io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = self.spawn(log)?;
        let pid = child.id().unwrap_or_default().cast_signed();
        self.pid.store(pid, Ordering::Relaxed);
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

    /// Waits until the readiness listener responds with status 200.
    ///
    /// # Errors
    ///
    /// Fails with `SoakError::Unready` after 20 s.
    pub async fn wait_ready(&self) -> Result<(), SoakError> {
        let ready = async {
            while !is_ready(self.readiness).await {
                sleep(READY_POLL).await;
            }
        };
        timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_elapsed| SoakError::Unready {
                name: self.name.clone(),
                log: self.log.clone(),
            })
    }

    /// Sends `signal` to the process, if it runs; a failure goes to standard error.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.pid.load(Ordering::Relaxed));
        if let Some(pid) = pid
            && let Err(e) = kill_process(pid, signal)
        {
            eprintln!("soak: cannot send {signal:?} to {}: {e}", self.name);
        }
    }

    /// Waits up to `limit` until the process has exited; `None` if it has not.
    pub async fn wait_exit(&self, limit: Duration) -> Option<Exit> {
        let mut child = self.child.lock().await;
        let Some(running) = child.as_mut() else {
            return Some(Exit::Orderly);
        };
        let status = timeout(limit, running.wait()).await.ok()?;
        self.pid.store(0, Ordering::Relaxed);
        *child = None;
        Some(match status {
            Ok(status) if status.success() => Exit::Orderly,
            Ok(status) => Exit::Failed(status.to_string()),
            Err(e) => Exit::Failed(e.to_string()),
        })
    }

    /// Whether the process has exited while no task waits for its exit; `true` only once per exit.
    pub fn has_exited(&self) -> bool {
        let child = self.child.try_lock();
        child.is_ok_and(|mut child| {
            let running = child.as_mut();
            let exited = running.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
            if exited {
                // The system may assign the id to another process.
                self.pid.store(0, Ordering::Relaxed);
                *child = None;
            }
            exited
        })
    }
}

/// Loopback addresses with ports that are free now and that no other daemon of this process has, outside the
/// ephemeral range: otherwise an outgoing connection could take the port of a daemon that is down for a while.
fn free_ports() -> io::Result<[SocketAddr; 4]> {
    static TAKEN: std::sync::Mutex<BTreeSet<u16>> = std::sync::Mutex::new(BTreeSet::new());
    let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut listeners = Vec::new();
    while listeners.len() < 4 {
        let port = rand::rng().random_range(PORT_RANGE);
        if !taken.insert(port) {
            continue;
        }
        match TcpListener::bind(("127.0.0.1", port)) {
            Ok(listener) => listeners.push(listener),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
            Err(e) => return Err(e),
        }
    }
    let address = |i: usize| listeners[i].local_addr();
    Ok([address(0)?, address(1)?, address(2)?, address(3)?])
}

async fn is_ready(address: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(address).await?;
        let head = b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(head).await?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await?;
        io::Result::Ok(response.starts_with("HTTP/1.1 200"))
    };
    matches!(timeout(READY_POLL * 10, check).await, Ok(Ok(true)))
}
