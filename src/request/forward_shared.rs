use {
    super::{ForwardOptions, ForwardParts},
    crate::{
        board::{Blackboard, Counters, Tick},
        decide::RetryBudget,
        port::Clock,
    },
    arc_swap::ArcSwap,
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio_util::task::TaskTracker,
};

/// Multiplier of the sequence that spreads choices among equal endpoints.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Part of its share of the slack that a daemon saves up, as daemons that restart begin anew.
const RESERVE_PART: u64 = 2;

/// Retries that a daemon may save up for a pool while it knows no other daemon.
const LONE_RESERVE: u64 = 2;

/// What all forwarded requests of a daemon share; cloning it is one reference count.
#[derive(Debug)]
pub struct ForwardShared<P> {
    inner: Arc<Inner<P>>,
}

/// Contents of `ForwardShared`.
#[derive(Debug)]
struct Inner<P> {
    parts: P,
    board: Blackboard,
    counters: Counters,
    options: ForwardOptions,
    budgets: ArcSwap<HashMap<String, Arc<RetryBudget>>>,
    draws: AtomicU64,
    tasks: TaskTracker,
}

impl<P> Clone for ForwardShared<P> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<P> ForwardShared<P>
where
    P: ForwardParts,
{
    /// Creates the shared state; `seed` makes the choices among equal endpoints repeatable.
    pub fn new(
        parts: P,
        board: Blackboard,
        counters: Counters,
        options: ForwardOptions,
        seed: u64,
    ) -> Self {
        Self {
            inner: Arc::new(Inner {
                parts,
                board,
                counters,
                options,
                budgets: ArcSwap::default(),
                draws: AtomicU64::new(seed),
                tasks: TaskTracker::new(),
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

    /// Limits.
    pub fn options(&self) -> &ForwardOptions {
        &self.inner.options
    }

    /// Monotonic time.
    pub fn now(&self) -> Tick {
        self.parts().clock().now()
    }

    /// Time left until `deadline`.
    pub fn left(&self, deadline: Tick) -> Duration {
        deadline - self.now()
    }

    /// A number that differs from draw to draw.
    pub fn draw(&self) -> usize {
        (self.unique() >> 33) as usize
    }

    /// A number that no other request of the site has, but for the rarest chance.
    pub fn unique(&self) -> u64 {
        self.inner.draws.fetch_add(SPREAD, Ordering::Relaxed)
    }

    /// Retry budget of a pool.
    pub fn budget(&self, pool: &str) -> Arc<RetryBudget> {
        if let Some(budget) = self.inner.budgets.load().get(pool) {
            return Arc::clone(budget);
        }
        let options = self.options();
        let daemons = self.board().members.load().hosts.len();
        let share = if daemons > 1 {
            options.retry_slack / (daemons as u64 * RESERVE_PART)
        } else {
            LONE_RESERVE
        };
        let budget = RetryBudget::new(options.retry_percent, share.max(1));
        let budget = Arc::new(budget);
        self.inner.budgets.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.entry(pool.to_owned())
                .or_insert_with(|| Arc::clone(&budget));
            next
        });
        let budgets = self.inner.budgets.load();
        budgets.get(pool).map_or(budget, Arc::clone)
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
