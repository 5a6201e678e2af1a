use {
    super::ClaimRouter,
    crate::{
        decide::Backoff,
        port::{ClaimOutcome, ClaimRequest, Clock, Peer},
    },
    futures_util::future::join_all,
    rand::rngs::SmallRng,
    std::time::Duration,
    tokio::sync::mpsc,
};

/// Maximum number of ends recorded concurrently.
const MAX_BATCH_ENDS: usize = 256;
/// Maximum delay after the first batch that was not recorded completely; it doubles with each further
/// one.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Limit of the doubled delay.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Records the ends of attempts that could not be recorded in time, and retries until the platform
/// accepts them.
#[derive(Debug)]
pub struct ClaimResolver<P, C> {
    router: ClaimRouter<P, C>,
    ends: mpsc::Receiver<ClaimRequest>,
}

impl<P, C> ClaimResolver<P, C>
where
    P: Peer,
    C: Clock,
{
    pub(super) fn new(router: ClaimRouter<P, C>, ends: mpsc::Receiver<ClaimRequest>) -> Self {
        Self { router, ends }
    }

    /// Runs until the task is dropped; `rng` feeds the jitter of the delays between retries.
    pub async fn run(mut self, mut rng: SmallRng) {
        let mut backoff = Backoff::new(BACKOFF_BASE, MAX_BACKOFF);
        let mut batch = Vec::new();
        loop {
            let room = MAX_BATCH_ENDS - batch.len();
            if batch.is_empty() {
                self.ends.recv_many(&mut batch, room).await;
            }
            batch = self.record(batch).await;
            if batch.is_empty() {
                backoff.succeed();
            } else {
                let delay = backoff.fail(&mut rng);
                self.router.clock().sleep(delay).await;
            }
        }
    }

    /// Records the ends of `batch`; returns those that have to be retried.
    async fn record(&self, batch: Vec<ClaimRequest>) -> Vec<ClaimRequest> {
        let outcomes = join_all(batch.iter().map(|end| self.router.route(end.clone()))).await;
        batch
            .into_iter()
            .zip(outcomes)
            .filter(|(_, outcome)| *outcome != ClaimOutcome::Recorded)
            .map(|(end, _)| end)
            .collect()
    }
}
