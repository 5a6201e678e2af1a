//! The history of a soak: what callers and workers observe, for the checks in `finding`.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Records what callers and workers observe; clones share one history.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Instant,
    history: Arc<Mutex<History>>,
}

/// Everything that was recorded; times count from the creation of the recorder.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Runs at workers, in the order of recording.
    pub runs: Vec<Run>,
    /// Requests of callers, by request id.
    pub requests: HashMap<String, CallerRequest>,
    /// Attempts that reached the worker instance they were meant for, run or not; prefill attempts
    /// are not among them.
    pub arrivals: Vec<Arrival>,
    /// Role orders that workers received, accepted or rejected, in the order of recording.
    pub orders: Vec<RoleOrder>,
    /// When each worker instance registered itself as draining.
    pub drains: HashMap<String, Duration>,
    /// Times for which a worker instance asked a daemon for no further requests.
    pub pauses: Vec<Pause>,
    /// Stop signals to daemons, by name, in the order of recording.
    pub stops: Vec<(String, Duration)>,
    /// Periods in which time bounds did not apply to one daemon or to all of them.
    pub disturbances: Vec<Disturbance>,
}

/// One execution of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// Instance of the worker.
    pub worker: String,
    /// When it began.
    pub began: Duration,
    /// When it ended; `None` while it runs.
    pub ended: Option<Duration>,
    /// Who ended it.
    pub end: RunEnd,
}

/// Who ended a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RunEnd {
    /// The worker, once it had written all that it was to write.
    Complete,
    /// The worker or its link, by a fault.
    Cut,
    /// The daemon, which closed its connection; also of a run that still goes on.
    #[default]
    Dropped,
}

/// Kind of the route that a request uses.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// May run once at most.
    Unsafe,
    /// The response is a stream of events; may be resumed.
    Stream,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Kind of its route.
    pub kind: RouteKind,
    /// Service that runs it.
    pub service: &'static str,
    /// Daemon that it was sent to.
    pub daemon: String,
    /// When the caller sent it.
    pub sent: Duration,
    /// When the caller disconnected on purpose before the response ended; `None` if it did not.
    pub disconnected: Option<Duration>,
    /// The response; `None` until it ends, and if the caller disconnected or gave up first.
    pub response: Option<CallerResponse>,
}

/// The response to a request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// When the response ended.
    pub at: Duration,
    /// HTTP status; `None` if the connection closed before the response began.
    pub status: Option<u16>,
    /// Whether it carries the `server-stamp` header of a worker.
    pub stamped: bool,
    /// How its contents differ from what the worker sends for this request; `None` if they match.
    pub mismatch: Option<String>,
    /// Whether its body ended regularly instead of being truncated.
    pub complete: bool,
}

/// An attempt of a request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Service of the worker.
    pub service: &'static str,
    /// Instance of the worker.
    pub worker: String,
    /// Id of the request.
    pub request: String,
    /// When it reached the worker.
    pub at: Duration,
    /// Whether the link back to the daemon had a fault then.
    pub faulty_link: bool,
}

/// A refusal with which a worker asks for no further requests for a while.
#[derive(Clone, Debug)]
pub struct Pause {
    /// Instance of the worker.
    pub worker: String,
    /// Id of the refused request.
    pub request: String,
    /// When it refused.
    pub from: Duration,
    /// When it wants requests again.
    pub until: Duration,
}

/// An order to a worker to change its role.
#[derive(Clone, Debug)]
pub struct RoleOrder {
    /// Instance of the worker.
    pub worker: String,
    /// Daemon that holds the order lease.
    pub holder: String,
    /// When the worker received it.
    pub at: Duration,
}

/// A period in which time bounds do not apply.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// Name of the affected daemon; `None` for all daemons.
    pub daemon: Option<String>,
    /// Whether it is planned work, such as a stop.
    pub planned: bool,
    /// Whether the daemon's process ended or was suspended, so that it may know nothing of before.
    pub stopped: bool,
    /// When it began.
    pub from: Duration,
    /// When it ended; `Duration::MAX` while it lasts.
    pub until: Duration,
}

impl Default for Recorder {
    /// A recorder with an empty history, whose time starts now.
    fn default() -> Self {
        Self {
            start: Instant::now(),
            history: Arc::default(),
        }
    }
}

impl Recorder {
    /// Time since the recorder was created.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Locks the history.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an attempt that reached a worker.
    pub fn record_arrival(&self, arrival: Arrival) {
        self.history().arrivals.push(arrival);
    }

    /// Records that `worker` asks for no requests for `time`, in a refusal of `request`.
    pub fn record_pause(&self, worker: &str, request: &str, time: Duration) {
        let from = self.now();
        self.history().pauses.push(Pause {
            worker: worker.to_owned(),
            request: request.to_owned(),
            from,
            until: from + time,
        });
    }

    /// Records a run of the request `request`; it ends when the guard is dropped.
    pub fn record_run(&self, request: &str, worker: &str) -> RunGuard {
        let began = self.now();
        let mut history = self.history();
        history.runs.push(Run {
            request: request.to_owned(),
            worker: worker.to_owned(),
            began,
            ended: None,
            end: RunEnd::Dropped,
        });
        RunGuard {
            recorder: self.clone(),
            index: history.runs.len() - 1,
        }
    }

    /// Records that a caller sent the request `id`.
    pub fn record_request(&self, id: &str, request: CallerRequest) {
        self.history().requests.insert(id.to_owned(), request);
    }

    /// Records the response to the request `id`.
    pub fn record_response(&self, id: &str, response: CallerResponse) {
        if let Some(request) = self.history().requests.get_mut(id) {
            request.response = Some(response);
        }
    }

    /// Records that the daemon `name` gets a stop signal now.
    pub fn record_stop(&self, name: &str) {
        let now = self.now();
        self.history().stops.push((name.to_owned(), now));
    }

    /// Records a disturbance of `daemon`, or of all daemons, from now until the guard is dropped.
    pub fn record_disturbance(
        &self,
        daemon: Option<String>,
        planned: bool,
        stopped: bool,
    ) -> DisturbanceGuard {
        let from = self.now();
        let mut history = self.history();
        history.disturbances.push(Disturbance {
            daemon,
            planned,
            stopped,
            from,
            until: Duration::MAX,
        });
        DisturbanceGuard {
            recorder: self.clone(),
            index: history.disturbances.len() - 1,
        }
    }

    /// Records that the caller of the request `id` disconnects now.
    pub fn record_disconnect(&self, id: &str) {
        let now = self.now();
        if let Some(request) = self.history().requests.get_mut(id) {
            request.disconnected = Some(now);
        }
    }
}

/// Ends a recorded run when dropped.
#[derive(Debug)]
pub struct RunGuard {
    recorder: Recorder,
    index: usize,
}

impl RunGuard {
    /// Records who ends the run.
    pub fn end(&self, end: RunEnd) {
        if let Some(run) = self.recorder.history().runs.get_mut(self.index) {
            run.end = end;
        }
    }

    /// Records that the worker or its link ends the run, unless it is complete.
    pub fn cut(&self) {
        if let Some(run) = self.recorder.history().runs.get_mut(self.index)
            && run.end != RunEnd::Complete
        {
            run.end = RunEnd::Cut;
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.recorder.now();
        if let Some(run) = self.recorder.history().runs.get_mut(self.index) {
            run.ended = Some(now);
        }
    }
}

/// Ends a recorded disturbance when dropped.
#[derive(Debug)]
pub struct DisturbanceGuard {
    recorder: Recorder,
    index: usize,
}

impl Drop for DisturbanceGuard {
    fn drop(&mut self) {
        let now = self.recorder.now();
        if let Some(disturbance) = self.recorder.history().disturbances.get_mut(self.index) {
            disturbance.until = now;
        }
    }
}
