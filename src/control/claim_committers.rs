use {
    super::{
        ClaimSettings,
        claim_committer::{ClaimCommitter, PendingClaim},
    },
    crate::{
        board::{Members, Section},
        decide::claim_key,
        key::name_hash,
        port::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimStore, Claimer, Clock},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Maximum number of claim requests that wait for one partition; further ones get `Unavailable`.
const MAX_QUEUED_REQUESTS: usize = 4_096;
/// Time limit for recording the end of an attempt.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Handle of the claim committers of this daemon, one for each partition.
///
/// Any daemon may commit any partition, because each write is conditional. Sending all requests of
/// a partition to the same daemon makes the groups large.
#[derive(Clone, Debug)]
pub struct ClaimCommitters<C> {
    clock: C,
    queues: Arc<[mpsc::Sender<PendingClaim>]>,
}

impl<C> ClaimCommitters<C>
where
    C: Clock,
{
    /// Starts one committer per partition, on the tokio runtime; they end when the last handle is
    /// dropped.
    ///
    /// `seed` feeds the jitter of the delays between retries.
    pub fn start<S>(
        store: &S,
        clock: C,
        members: &Section<Members>,
        settings: ClaimSettings,
        seed: u64,
    ) -> Self
    where
        S: ClaimStore,
    {
        let start = |number: u32| {
            let (queue, requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
            let rng = SmallRng::seed_from_u64(seed ^ u64::from(number));
            let ports = (store.clone(), clock.clone());
            let committer = ClaimCommitter::new(ports, members.clone(), settings, number, rng);
            tokio::spawn(committer.run(requests));
            queue
        };
        let queues = (0..settings.partitions.max(1)).map(start).collect();
        Self { clock, queues }
    }

    /// Returns the number of the partition that holds `key`: a hash of it, the same on every daemon.
    pub fn partition(&self, key: &ClaimKey) -> u32 {
        let ClaimKey { branch, kind, key } = key;
        let name = format!("{branch}\0{kind}\0{key}");
        (name_hash(&name) % self.queues.len() as u64) as u32
    }
}

impl<C> Claimer for ClaimCommitters<C>
where
    C: Clock,
{
    /// Commits one claim request.
    ///
    /// Returns `Unavailable` if the queue is full or the time limit has passed. For a take this
    /// means that its attempt must not run. Whether the claim was written is then not known, so the
    /// attempt has to be finished as not run.
    async fn submit(&self, request: ClaimRequest) -> ClaimOutcome {
        let limit = match &request {
            ClaimRequest::Take { remaining, .. } => *remaining,
            ClaimRequest::Finish { .. } => FINISH_TIMEOUT,
        };
        let queue = &self.queues[self.partition(claim_key(&request)) as usize];
        let (reply, outcome) = oneshot::channel();
        let pending = PendingClaim {
            request,
            reply,
            deadline: self.clock.now() + limit,
        };
        if queue.try_send(pending).is_err() {
            return ClaimOutcome::Unavailable;
        }
        tokio::select! {
            biased;
            outcome = outcome => outcome.unwrap_or(ClaimOutcome::Unavailable),
            () = self.clock.sleep(limit) => ClaimOutcome::Unavailable,
        }
    }
}
