//! One process of the built binary, ended when its handle is dropped.

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

/// Longest wait for anything that is bound to happen.
pub const LIMIT: Duration = Duration::from_secs(90);

/// Pause between looks at a condition.
pub const PAUSE: Duration = Duration::from_millis(20);

/// A running process.
pub struct Process {
    child: Child,
    /// First JSON object that the process wrote and that names an address.
    pub said: Value,
}

impl Process {
    /// Starts the binary and waits until it has written a line that holds `mark`.
    pub fn start(words: &[&str], mark: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lentillead"))
            .args(words)
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
            said: Value::Null,
        };
        let mut seen = Vec::new();
        while let Ok(line) = lines.recv_timeout(LIMIT) {
            if line.contains(mark) {
                process.said = serde_json::from_str(&line).unwrap();
                return process;
            }
            seen.push(line);
        }
        panic!("{words:?} did not start: {seen:?}");
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until the process has ended; its exit status, or none after a signal.
    pub async fn ended(&mut self) -> Option<i32> {
        let wait = async {
            loop {
                if let Some(status) = self.child.try_wait().unwrap() {
                    return status.code();
                }
                sleep(PAUSE).await;
            }
        };
        timeout(LIMIT, wait).await.expect("the process ends")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only when the process has ended.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Reads lines until the process ends, so that it never waits for a reader.
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
