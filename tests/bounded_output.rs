//! `BoundedOutput`: writing a log line never blocks on a slow or closed output.

use {
    insta::assert_yaml_snapshot,
    lentillead::{border::BoundedOutput, story::LogEntry},
    logforth::{
        Append,
        record::{Level, Record},
    },
    std::{
        io::{self, Write},
        sync::{
            Arc, Condvar, Mutex,
            mpsc::{Receiver, Sender, channel},
        },
        thread,
        time::Duration,
    },
};

/// Number of log lines written without a pause.
const LINES: usize = 5_000;

/// Longest wait for an expected line.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether an output accepts lines, and the condition variable that signals a change.
type Gate = Arc<(Mutex<bool>, Condvar)>;

/// An output that blocks until its gate opens, then sends each write to a channel.
struct Gated(Gate, Sender<String>);

impl Write for Gated {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (open, changed) = &*self.0;
        let mut open = open.lock().unwrap();
        while !*open {
            open = changed.wait(open).unwrap();
        }
        let text = String::from_utf8_lossy(buf).into_owned();
        self.1.send(text).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that takes a millisecond for each write, then sends it to a channel.
struct Slow(Sender<String>);

impl Write for Slow {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        thread::sleep(Duration::from_millis(1));
        let text = String::from_utf8_lossy(buf).into_owned();
        self.0.send(text).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose every write fails with `BrokenPipe`.
struct Closed;

impl Write for Closed {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(output: &BoundedOutput, level: Level, count: usize) {
    for _ in 0..count {
        let record = Record::builder()
            .payload(format_args!("line"))
            .level(level)
            .build();
        output.append(&record, &[]).unwrap();
    }
}

/// Reads up to the line that reports the dropped lines; returns the number of lines before it,
/// and that line.
fn read_until_dropped(lines: &Receiver<String>) -> (usize, String) {
    let mut count = 0;
    loop {
        let line = lines.recv_timeout(LINE_TIMEOUT).unwrap();
        if line.contains("log lines dropped") {
            return (count, line);
        }
        count += 1;
    }
}

#[test]
fn a_blocked_output_does_not_block_the_writer() {
    let gate = Gate::default();
    let (sender, lines) = channel();
    let output = BoundedOutput::start(Gated(Arc::clone(&gate), sender), 10_000).unwrap();
    write(&output, Level::Warn, LINES);
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    let (written, report) = read_until_dropped(&lines);
    let dropped = LINES - written;
    assert!(written < LINES, "{written}");
    assert!(
        report.contains(&format!("\"count\":{dropped}")),
        "{report} after {written}"
    );
}

#[test]
fn the_line_budget_does_not_apply_to_warnings() {
    let gate = Gate::default();
    *gate.0.lock().unwrap() = true;
    let (sender, lines) = channel();
    let output = BoundedOutput::start(Gated(gate, sender), 1).unwrap();
    write(&output, Level::Info, 3);
    write(&output, Level::Warn, 2);
    let (written, report) = read_until_dropped(&lines);
    let entry = LogEntry::parse("entry-1", &report).unwrap();
    let report = report.replace(&entry.time.to_string(), "TIME");
    assert_yaml_snapshot!((written, report));
}

#[test]
fn a_closed_output_does_not_fail_the_writer() {
    let output = BoundedOutput::start(Closed, 10_000).unwrap();
    write(&output, Level::Error, LINES);
}

/// The last lines of a daemon that stopped on a busy machine were missing.
#[test]
fn a_flush_that_succeeds_leaves_no_line_behind() {
    let (sender, lines) = channel();
    let output = BoundedOutput::start(Slow(sender), 100).unwrap();
    write(&output, Level::Warn, 50);
    // It may fail at its time limit.
    let flushed = output.flush().is_ok();
    let written = lines.try_iter().count();
    assert!(!flushed || written == 50, "{written}");
}
