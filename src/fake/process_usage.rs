use std::{fs, io, time::Duration};

/// Clock ticks a second of `/proc`, fixed by the kernel's interface.
const TICKS_PER_SECOND: u64 = 100;

/// Size of a page of memory in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Processor time and memory of this process so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time of all threads.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

impl ProcessUsage {
    /// Reads the usage from `/proc/self`.
    pub fn read() -> io::Result<Self> {
        let stat = fs::read_to_string("/proc/self/stat")?;
        let statm = fs::read_to_string("/proc/self/statm")?;
        // The fields after the command's name, which may hold spaces; user time is the 12th.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let mut times = fields.split_whitespace().skip(11);
        let ticks = number(times.next())? + number(times.next())?;
        let pages = number(statm.split_whitespace().nth(1))?;
        Ok(Self {
            processor: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            memory: pages * PAGE_BYTES,
        })
    }
}

fn number(field: Option<&str>) -> io::Result<u64> {
    let field = field.ok_or_else(|| io::Error::other("a field of /proc/self is missing"))?;
    field.parse().map_err(io::Error::other)
}
