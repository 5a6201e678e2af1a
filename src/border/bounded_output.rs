use {
    crate::{board::Tick, decide::TokenBucket},
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

/// Lines that may wait for the writer; further ones are left out.
const LINES_WAITING: usize = 1_024;

/// Shortest time between two lines that tell how many were left out.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Appends JSON lines to an output without ever waiting for it.
///
/// Lines below the level of a warning have a budget of lines a second. What is left out is
/// counted, and the count is written as a line of its own.
#[derive(Debug)]
pub struct BoundedOutput {
    layout: JsonLayout,
    lines: SyncSender<Vec<u8>>,
    omitted: Arc<AtomicU64>,
    budget: TokenBucket,
    start: Instant,
}

impl BoundedOutput {
    /// Starts the thread that writes to `output`, with `rate` lines a second at most.
    pub fn start<W>(output: W, rate: u32) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, waiting) = sync_channel(LINES_WAITING);
        let omitted = Arc::new(AtomicU64::new(0));
        let left_out = Arc::clone(&omitted);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &waiting, &left_out))?;
        Ok(Self {
            layout: JsonLayout::default(),
            lines,
            omitted,
            budget: TokenBucket::new(rate, rate),
            start: Instant::now(),
        })
    }

    fn is_within_budget(&self, level: Level) -> bool {
        let now = Tick::default() + self.start.elapsed();
        level >= Level::Warn || self.budget.try_take(now, 0)
    }
}

impl Append for BoundedOutput {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if !self.is_within_budget(record.level()) {
            self.omitted.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.omitted.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Writes lines as they come; a closed output is written to no more, but lines are still taken.
fn write_lines<W>(mut output: W, waiting: &Receiver<Vec<u8>>, omitted: &AtomicU64)
where
    W: Write,
{
    let mut open = true;
    let mut reported = Instant::now();
    loop {
        let line = match waiting.recv_timeout(REPORT_TIME) {
            Ok(line) => Some(line),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if let Some(line) = line {
            open = open && output.write_all(&line).is_ok();
        }
        if reported.elapsed() >= REPORT_TIME {
            reported = Instant::now();
            let count = omitted.swap(0, Ordering::Relaxed);
            if count > 0 {
                let line = format!(
                    "{{\"level\":\"WARN\",\"message\":\"log lines left out\",\"kvs\":{{\"count\":{count}}}}}\n"
                );
                open = open && output.write_all(line.as_bytes()).is_ok();
            }
        }
    }
}
