//! A process of the built binary, killed when its handle is dropped.

use {
    rustix::process::{Pid, Signal, kill_process},
    serde_json::Value,
    std::{
        fs::{read_dir, read_to_string},
        io::{BufRead, BufReader, Read},
        process::{Child, Command, Stdio},
        sync::mpsc,
        thread,
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Time within which an expected event must happen.
pub const LIMIT: Duration = Duration::from_secs(90);

/// Pause between two checks of a condition.
pub const PAUSE: Duration = Duration::from_millis(20);

/// A running process.
pub struct Process {
    child: Child,
    /// The line that contained the start mark, parsed as JSON; it names the addresses.
    pub announcement: Value,
}

impl Process {
    /// Starts the binary with the arguments `args` and waits until it has written a line that
    /// contains `mark`. Panics if there is none within `LIMIT`, or if the line is not JSON.
    pub fn start(args: &[&str], mark: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentillead"));
        command.args(args);
        Self::spawn(command, mark)
    }

    fn spawn(mut command: Command, mark: &str) -> Self {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, lines) = mpsc::channel();
        forward(child.stdout.take().unwrap(), sender.clone());
        forward(child.stderr.take().unwrap(), sender);
        let mut process = Self {
            child,
            announcement: Value::Null,
        };
        let mut seen = Vec::new();
        while let Ok(line) = lines.recv_timeout(LIMIT) {
            if line.contains(mark) {
                process.announcement = serde_json::from_str(&line).unwrap();
                return process;
            }
            seen.push(line);
        }
        panic!("{command:?} wrote no line with `{mark}`: {seen:?}");
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until the process has exited; returns its exit status, or `None` after a signal.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let wait = async {
            loop {
                if let Some(status) = self.child.try_wait().unwrap() {
                    return status.code();
                }
                sleep(PAUSE).await;
            }
        };
        timeout(LIMIT, wait)
            .await
            .expect("the process exits in time")
    }
}

#[allow(dead_code, reason = "used by the crowds only")]
impl Process {
    /// Starts the binary as `start` does, with at most `descriptors` open at once.
    pub fn start_limited(args: &[&str], mark: &str, descriptors: u32) -> Self {
        let mut command = Command::new("sh");
        let script = format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"");
        command
            .args(["-c", &script, env!("CARGO_BIN_EXE_lentillead")])
            .args(args);
        Self::spawn(command, mark)
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns the most memory that the process has had resident, in MiB.
    pub fn peak_mb(&self) -> u64 {
        let status = read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.unwrap().trim().trim_end_matches(" kB");
        kb.parse::<u64>().unwrap() >> 10
    }

    /// Returns the processor time that the process has used, in ticks of 10 ms.
    pub fn processor_ticks(&self) -> u64 {
        let stat = read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields = stat.rsplit_once(')').unwrap().1.split_whitespace();
        // The 14th and the 15th field of the line: user and system time.
        let times = fields.skip(11).take(2);
        times.map(|time| time.parse::<u64>().unwrap()).sum()
    }

    /// Returns the number of descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        let open = read_dir(format!("/proc/{}/fd", self.child.id())).unwrap();
        open.count()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only if the process has already exited.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Reads lines until the process closes its output, so that a full pipe never blocks it. Lines
/// without a receiver are dropped.
fn forward<R>(source: R, sink: mpsc::Sender<String>)
where
    R: Read + Send + 'static,
{
    thread::spawn(move || {
        for line in BufReader::new(source).lines().map_while(Result::ok) {
            drop(sink.send(line));
        }
    });
}
