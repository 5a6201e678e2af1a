use std::{fs, io, time::Duration};

/// Unit of the times in `/proc`; the kernel's interface fixes it at 100 ticks per second.
const TICKS_PER_SECOND: u64 = 100;

/// Size of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// Processor time that this process has used so far, and its resident memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// User and system time of all threads.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

impl ProcessUsage {
    /// Reads the usage from `/proc/self`.
    ///
    /// Fails if a file cannot be read or a field is missing or not a number.
    pub fn read() -> io::Result<Self> {
        let stat = fs::read_to_string("/proc/self/stat")?;
        let statm = fs::read_to_string("/proc/self/statm")?;
        // The command name may hold spaces, so the fields are counted after it: user time is the
        // 12th, system time the 13th.
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
    let field = field.ok_or_else(|| {
        io::Error::other("/proc/self/stat or /proc/self/statm has too few fields")
    })?;
    field.parse().map_err(io::Error::other)
}
