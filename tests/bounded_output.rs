//! Log lines never wait for their output.

use {
    insta::assert_yaml_snapshot,
    lentillead::border::BoundedOutput,
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
        time::Duration,
    },
};

/// Lines that are written in a row.
const LINES: usize = 5_000;

/// Longest wait for a line that must come.
const PATIENCE: Duration = Duration::from_secs(20);

/// Whether an output takes lines, and who waits for that.
type Gate = Arc<(Mutex<bool>, Condvar)>;

/// An output that is stuck until its gate opens, and passes on what it is given.
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

/// An output that was closed.
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

/// Reads until the line that tells how many were dropped; returns the lines before it and that.
fn until_told(lines: &Receiver<String>) -> (usize, String) {
    let mut count = 0;
    loop {
        let line = lines.recv_timeout(PATIENCE).unwrap();
        if line.contains("log lines dropped") {
            return (count, line);
        }
        count += 1;
    }
}

#[test]
fn a_stuck_output_is_not_waited_for() {
    let gate = Gate::default();
    let (sender, lines) = channel();
    let output = BoundedOutput::start(Gated(Arc::clone(&gate), sender), 10_000).unwrap();
    write(&output, Level::Warn, LINES);
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    let (written, told) = until_told(&lines);
    let dropped = LINES - written;
    assert!(written < LINES, "{written}");
    assert!(
        told.contains(&format!("\"count\":{dropped}")),
        "{told} after {written}"
    );
}

#[test]
fn lines_have_a_budget_and_warnings_do_not() {
    let gate = Gate::default();
    *gate.0.lock().unwrap() = true;
    let (sender, lines) = channel();
    let output = BoundedOutput::start(Gated(gate, sender), 1).unwrap();
    write(&output, Level::Info, 3);
    write(&output, Level::Warn, 2);
    let (written, told) = until_told(&lines);
    assert_yaml_snapshot!((written, told));
}

#[test]
fn a_closed_output_changes_nothing() {
    let output = BoundedOutput::start(Closed, 10_000).unwrap();
    write(&output, Level::Error, LINES);
}
