use {
    crate::{board::Tick, decide::TokenBucket},
    jiff::Timestamp,
    logforth::{
        Append, Diagnostic, Error, Layout,
        layout::JsonLayout,
        record::{Level, Record},
    },
    std::{
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum number of lines that wait for the writer thread; further lines are dropped.
const MAX_QUEUED_LINES: usize = 1_024;

/// Longest wait of a flush: an output that blocks must not keep the process from its end.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// Minimum time between two lines that report how many were dropped.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Log appender that writes JSON lines to an output without ever blocking on it.
///
/// Lines below the level of a warning are limited to a number of lines per second. Lines that
/// exceed this limit or find the queue full are dropped and counted; the count is written as a
/// line of its own.
#[derive(Debug)]
pub struct BoundedOutput {
    layout: JsonLayout,
    entries: SyncSender<Entry>,
    /// Lines dropped since the last report.
    dropped: Arc<AtomicU64>,
    budget: TokenBucket,
    start: Instant,
}

/// What the writer thread takes from its queue.
#[derive(Debug)]
enum Entry {
    /// A line to write.
    Line(Vec<u8>),
    /// Tells the receiver that everything before it was written.
    Flush(SyncSender<()>),
}

impl BoundedOutput {
    /// Starts the thread that writes to `output`; lines below the level of a warning are limited to
    /// `rate` per second.
    ///
    /// Fails if the thread cannot be started.
    pub fn start<W>(output: W, rate: u32) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (entries, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &queue, &writer_dropped))?;
        Ok(Self {
            layout: JsonLayout::default(),
            entries,
            dropped,
            budget: TokenBucket::new(rate, rate),
            start: Instant::now(),
        })
    }

    /// Returns whether a line of `level` may be written; takes a token from the budget if it needs
    /// one.
    fn try_spend(&self, level: Level) -> bool {
        let now = Tick::default() + self.start.elapsed();
        level >= Level::Warn || self.budget.try_take(now, 0)
    }
}

impl Append for BoundedOutput {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if !self.try_spend(record.level()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if self.entries.try_send(Entry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until the lines so far are written, for at most `FLUSH_LIMIT`.
    fn flush(&self) -> Result<(), Error> {
        let (written, done) = sync_channel(1);
        let flushed = self.entries.try_send(Entry::Flush(written));
        if flushed.is_err() || done.recv_timeout(FLUSH_LIMIT).is_err() {
            return Err(Error::new("log lines are still waiting for the output"));
        }
        Ok(())
    }
}

/// Writes queued lines in order until the appender is dropped, and confirms flushes.
///
/// After the first write error nothing more is written, but lines are still taken from the queue.
fn write_lines<W>(mut output: W, queue: &Receiver<Entry>, dropped: &AtomicU64)
where
    W: Write,
{
    let mut open = true;
    let mut last_report = Instant::now();
    loop {
        match queue.recv_timeout(REPORT_INTERVAL) {
            Ok(Entry::Line(line)) => open = open && output.write_all(&line).is_ok(),
            Ok(Entry::Flush(written)) => {
                open = open && output.flush().is_ok();
                // The flush may have ended at its limit.
                let _ = written.send(());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if last_report.elapsed() >= REPORT_INTERVAL {
            last_report = Instant::now();
            let count = dropped.swap(0, Ordering::Relaxed);
            if count > 0 {
                let now = Timestamp::now();
                let line = format!(
                    "{{\"timestamp\":\"{now}\",\"level\":\"WARN\",\"message\":\"log lines dropped\",\"kvs\":{{\"count\":{count}}}}}\n"
                );
                open = open && output.write_all(line.as_bytes()).is_ok();
            }
        }
    }
}
