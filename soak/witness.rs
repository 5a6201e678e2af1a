//! What callers and workers see during a soak.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// What callers and workers saw, shared by all of them.
#[derive(Clone, Debug)]
pub struct Witness {
    start: Instant,
    seen: Arc<Mutex<Seen>>,
}

/// Everything that was seen; times count from the start of the soak.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Runs at workers.
    pub runs: Vec<Run>,
    /// What callers asked for, by id.
    pub asks: HashMap<String, Ask>,
    /// Calls that reached a service, run or not.
    pub arrivals: Vec<Arrival>,
    /// Orders that a worker accepted or refused.
    pub orders: Vec<Order>,
    /// When each worker was reported as leaving.
    pub leaving: HashMap<String, Duration>,
    /// Times in which a daemon, or all of them, could not be held to bounds of time.
    pub troubles: Vec<Trouble>,
}

/// One run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// Instance of the worker.
    pub worker: String,
    /// When it began.
    pub began: Duration,
    /// When it ended.
    pub ended: Option<Duration>,
}

/// What kind of route a request went to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// Runs once at most.
    Unsafe,
    /// Answered by events.
    Stream,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Kind of its route.
    pub kind: Kind,
    /// Service that runs it.
    pub service: &'static str,
    /// Daemon that it was sent to.
    pub daemon: String,
    /// When it was sent.
    pub sent: Duration,
    /// When the caller went away before its answer.
    pub left: Option<Duration>,
    /// How it was answered.
    pub answer: Option<Answer>,
}

/// How a request was answered.
#[derive(Clone, Debug)]
pub struct Answer {
    /// When the answer ended.
    pub at: Duration,
    /// Status; nothing if the connection broke off before.
    pub status: Option<u16>,
    /// Whether a worker signed it.
    pub signed: bool,
    /// What is wrong with its contents.
    pub wrong: Option<String>,
    /// Whether it came to its regular end.
    pub whole: bool,
}

/// A call that reached a service.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Service.
    pub service: &'static str,
    /// Id of the request.
    pub request: String,
    /// When.
    pub at: Duration,
}

/// An order to a worker.
#[derive(Clone, Debug)]
pub struct Order {
    /// Instance of the worker.
    pub worker: String,
    /// Who ordered.
    pub holder: String,
    /// When.
    pub at: Duration,
}

/// A time of trouble.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// Daemon, or every one.
    pub daemon: Option<String>,
    /// Whether it is work that the operator plans.
    pub planned: bool,
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub until: Duration,
}

impl Default for Witness {
    /// A witness who has seen nothing; time counts from now.
    fn default() -> Self {
        Self {
            start: Instant::now(),
            seen: Arc::default(),
        }
    }
}

impl Witness {
    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// What was seen so far.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a call reached `service`.
    pub fn arrived(&self, service: &'static str, request: &str) {
        let at = self.now();
        self.seen().arrivals.push(Arrival {
            service,
            request: request.to_owned(),
            at,
        });
    }

    /// Notes a run; dropping what is returned ends it.
    pub fn run(&self, request: &str, worker: &str) -> RunGuard {
        let began = self.now();
        let mut seen = self.seen();
        seen.runs.push(Run {
            request: request.to_owned(),
            worker: worker.to_owned(),
            began,
            ended: None,
        });
        RunGuard {
            witness: self.clone(),
            index: seen.runs.len() - 1,
        }
    }

    /// Notes a request of a caller.
    pub fn asked(&self, id: &str, ask: Ask) {
        self.seen().asks.insert(id.to_owned(), ask);
    }

    /// Notes how the request `id` was answered.
    pub fn answered(&self, id: &str, answer: Answer) {
        if let Some(ask) = self.seen().asks.get_mut(id) {
            ask.answer = Some(answer);
        }
    }

    /// Notes that trouble begins now; it lasts until the guard is dropped.
    pub fn trouble(&self, daemon: Option<String>, planned: bool) -> TroubleGuard {
        let from = self.now();
        let mut seen = self.seen();
        seen.troubles.push(Trouble {
            daemon,
            planned,
            from,
            until: Duration::MAX,
        });
        TroubleGuard {
            witness: self.clone(),
            index: seen.troubles.len() - 1,
        }
    }

    /// Notes that the caller of request `id` goes away.
    pub fn left(&self, id: &str) {
        let now = self.now();
        if let Some(ask) = self.seen().asks.get_mut(id) {
            ask.left = Some(now);
        }
    }
}

/// A run at a worker that has not ended.
#[derive(Debug)]
pub struct RunGuard {
    witness: Witness,
    index: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.witness.now();
        if let Some(run) = self.witness.seen().runs.get_mut(self.index) {
            run.ended = Some(now);
        }
    }
}

/// Trouble that has not ended.
#[derive(Debug)]
pub struct TroubleGuard {
    witness: Witness,
    index: usize,
}

impl Drop for TroubleGuard {
    fn drop(&mut self) {
        let now = self.witness.now();
        if let Some(trouble) = self.witness.seen().troubles.get_mut(self.index) {
            trouble.until = now;
        }
    }
}
