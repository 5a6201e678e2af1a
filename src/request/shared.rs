use {
    super::{Parts, PathOptions},
    crate::{
        board::{Blackboard, Counters, Suspect, Tick},
        decide::RetryBudget,
        key::BranchKey,
        port::Clock,
    },
    slotmap::SecondaryMap,
    std::{sync::Arc, time::Duration},
    tokio_util::task::TaskTracker,
};

/// What all requests of a daemon share; cloning it is one reference count.
#[derive(Debug)]
pub struct Shared<P> {
    inner: Arc<Inner<P>>,
}

/// Contents of `Shared`.
#[derive(Debug)]
struct Inner<P> {
    parts: P,
    board: Blackboard,
    counters: Counters,
    options: PathOptions,
    budgets: SecondaryMap<BranchKey, RetryBudget>,
    tasks: TaskTracker,
}

impl<P> Clone for Shared<P> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<P> Shared<P>
where
    P: Parts,
{
    /// Creates the shared state; the branches of `board` must be known.
    pub fn new(parts: P, board: Blackboard, counters: Counters, options: PathOptions) -> Self {
        let budget = || RetryBudget::new(options.retry_percent, options.retry_reserve);
        let budgets = board
            .branches
            .load()
            .iter()
            .map(|(key, _)| (key, budget()))
            .collect();
        let tasks = TaskTracker::new();
        Self {
            inner: Arc::new(Inner {
                parts,
                board,
                counters,
                options,
                budgets,
                tasks,
            }),
        }
    }

    /// Implementations of the ports.
    pub fn parts(&self) -> &P {
        &self.inner.parts
    }

    /// The blackboard.
    pub fn board(&self) -> &Blackboard {
        &self.inner.board
    }

    /// Counters.
    pub fn counters(&self) -> &Counters {
        &self.inner.counters
    }

    /// Settings of the path.
    pub fn options(&self) -> &PathOptions {
        &self.inner.options
    }

    /// Monotonic time.
    pub fn now(&self) -> Tick {
        self.parts().clock().now()
    }

    /// Wall-clock time in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.parts().clock().unix_ms()
    }

    /// Time left until `deadline`.
    pub fn left(&self, deadline: Tick) -> Duration {
        deadline - self.now()
    }

    /// Whether the request with fingerprint `print` is suspected of having crashed an endpoint.
    pub fn is_suspect(&self, print: u64) -> bool {
        self.suspected(print, |_| true)
    }

    /// Whether the request with fingerprint `print` is refused as a cause of crashes.
    pub fn is_refused(&self, print: u64) -> bool {
        self.suspected(print, |suspect| suspect.refused)
    }

    fn suspected<F>(&self, print: u64, holds: F) -> bool
    where
        F: FnOnce(&Suspect) -> bool,
    {
        let suspects = self.board().suspects.load();
        let suspect = suspects.by_print.get(&print);
        suspect.is_some_and(|suspect| suspect.expires > self.now() && holds(suspect))
    }

    /// Retry budget of a branch.
    pub fn budget(&self, branch: BranchKey) -> Option<&RetryBudget> {
        self.inner.budgets.get(branch)
    }

    /// Runs `task` so that a planned stop waits for it.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        if tokio::runtime::Handle::try_current().is_ok() {
            self.inner.tasks.spawn(task);
        }
    }

    /// Waits until no spawned task is left.
    pub async fn settle(&self) {
        self.inner.tasks.close();
        self.inner.tasks.wait().await;
    }
}
