//! A process of the built binary, killed when its handle is dropped.

use {
    rustix::process::{Pid, Signal, kill_process},
    serde_json::Value,
    std::{
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
        let mut child = Command::new(env!("CARGO_BIN_EXE_lentillead"))
            .args(args)
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
        panic!("{args:?} wrote no line with `{mark}`: {seen:?}");
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
