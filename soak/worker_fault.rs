use std::time::Duration;

/// How many times longer a slow worker takes.
const SLOWNESS: u32 = 5;

/// What a worker does wrong with requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerFault {
    /// Nothing.
    #[default]
    None,
    /// Answers a failure of its own.
    Failing,
    /// Runs and closes the connection instead of an answer.
    Mute,
    /// Sends bytes that are no answer.
    Garbled,
    /// Runs at a fifth of its speed.
    Slow,
    /// Is full.
    Full,
}

impl WorkerFault {
    /// How long what takes `time` otherwise takes.
    pub fn pace(self, time: Duration) -> Duration {
        if self == Self::Slow {
            time * SLOWNESS
        } else {
            time
        }
    }
}
