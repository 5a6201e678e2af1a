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

/// State that all requests of a daemon share; a clone shares it by reference count.
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
    budgets: SecondaryMap<BranchKey, Arc<RetryBudget>>,
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
    /// Creates the shared state, with a retry budget for each branch that `board` lists now.
    pub fn new(parts: P, board: Blackboard, counters: Counters, options: PathOptions) -> Self {
        let reserve = options.retry_reserve;
        let budget = || Arc::new(RetryBudget::new(options.retry_percent, reserve, reserve));
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

    /// Returns the implementations of the ports.
    pub fn parts(&self) -> &P {
        &self.inner.parts
    }

    /// Returns the blackboard that the sheet, endpoints and members are read from.
    pub fn board(&self) -> &Blackboard {
        &self.inner.board
    }

    /// Returns the metrics of the daemon.
    pub fn counters(&self) -> &Counters {
        &self.inner.counters
    }

    /// Returns the limits of the request path.
    pub fn options(&self) -> &PathOptions {
        &self.inner.options
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Tick {
        self.parts().clock().now()
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.parts().clock().unix_ms()
    }

    /// Returns the time left until `deadline`, zero once it has passed.
    pub fn left(&self, deadline: Tick) -> Duration {
        deadline - self.now()
    }

    /// Whether the request with `fingerprint` is suspected of having crashed an endpoint.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.has_suspect(fingerprint, |_| true)
    }

    /// Whether the request with `fingerprint` is refused because it crashed several endpoints.
    pub fn is_refused(&self, fingerprint: u64) -> bool {
        self.has_suspect(fingerprint, |suspect| suspect.refused)
    }

    fn has_suspect<F>(&self, fingerprint: u64, predicate: F) -> bool
    where
        F: FnOnce(&Suspect) -> bool,
    {
        let suspects = self.board().suspects.load();
        let suspect = suspects.by_fingerprint.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.expires > self.now() && predicate(suspect))
    }

    /// Returns the retry budget of `branch`; `None` for a branch that was not listed at the start.
    pub fn budget(&self, branch: BranchKey) -> Option<&Arc<RetryBudget>> {
        self.inner.budgets.get(branch)
    }

    /// Runs `task` so that a planned stop waits for it; outside of a tokio runtime, drops it unrun.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        if tokio::runtime::Handle::try_current().is_ok() {
            self.inner.tasks.spawn(task);
        }
    }

    /// Waits until every spawned task has ended.
    pub async fn wait_for_tasks(&self) {
        self.inner.tasks.close();
        self.inner.tasks.wait().await;
    }
}
