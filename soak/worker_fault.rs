use {super::recorder::RunEnd, std::time::Duration};

/// Factor on the times of a slow worker.
const SLOWNESS: u32 = 5;

/// Faulty behaviour of a worker towards requests; of these, only `Slow` and `Full` affect prefills.
/// Plans print the variant names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerFault {
    /// No fault.
    #[default]
    None,
    /// Runs the request and responds with status 500.
    Failing,
    /// Runs the request and closes the connection without a response.
    Mute,
    /// Runs the request and sends a response whose body is malformed and truncated.
    Garbled,
    /// Runs at a fifth of its speed.
    Slow,
    /// Rejects every request as if all its slots were taken.
    Full,
    /// Writes no event of its streams until the fault ends, and then goes on with each of them.
    Pausing,
}

impl WorkerFault {
    /// Who ends a run that is short under this fault.
    pub fn run_end(self) -> RunEnd {
        match self {
            Self::Mute | Self::Garbled => RunEnd::Cut,
            _ => RunEnd::Complete,
        }
    }

    /// Time that an operation takes under this fault, if it takes `time` without one.
    pub fn scale(self, time: Duration) -> Duration {
        if self == Self::Slow {
            time * SLOWNESS
        } else {
            time
        }
    }
}
