use {
    super::{
        ClaimSettings,
        claim_committer::{ClaimCommitter, PendingClaim},
    },
    crate::{
        board::{Members, Section},
        decide::ask_key,
        key::name_hash,
        port::{ClaimAsk, ClaimKey, ClaimOutcome, ClaimStore, Claimer, Clock},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Asks that may wait for one partition.
const QUEUE_MAX: usize = 4_096;
/// Longest time that a finish waits for the platform.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Handle of the committers of this daemon, one for each partition.
///
/// Any daemon may commit any partition, because each write is conditional; asking the same
/// daemon for the same partition is what makes groups large.
#[derive(Clone, Debug)]
pub struct Claims<C> {
    clock: C,
    queues: Arc<[mpsc::Sender<PendingClaim>]>,
}

impl<C> Claims<C>
where
    C: Clock,
{
    /// Starts the committers; they end when the last handle is dropped.
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
            let (queue, asks) = mpsc::channel(QUEUE_MAX);
            let rng = SmallRng::seed_from_u64(seed ^ u64::from(number));
            let ports = (store.clone(), clock.clone());
            let committer = ClaimCommitter::new(ports, members.clone(), settings, number, rng);
            tokio::spawn(committer.run(asks));
            queue
        };
        let queues = (0..settings.partitions.max(1)).map(start).collect();
        Self { clock, queues }
    }

    /// Partition of `key`.
    pub fn partition(&self, key: &ClaimKey) -> u32 {
        let ClaimKey { branch, kind, key } = key;
        let name = format!("{branch}\0{kind}\0{key}");
        (name_hash(&name) % self.queues.len() as u64) as u32
    }
}

impl<C> Claimer for Claims<C>
where
    C: Clock,
{
    /// Commits one ask. `Unavailable` for a take says that its attempt must not run; whether the
    /// claim stands is then not known, so the attempt has to be finished as not run.
    async fn ask(&self, ask: ClaimAsk) -> ClaimOutcome {
        let limit = match &ask {
            ClaimAsk::Take { remaining, .. } => *remaining,
            ClaimAsk::Finish { .. } => FINISH_TIMEOUT,
        };
        let queue = &self.queues[self.partition(ask_key(&ask)) as usize];
        let (reply, outcome) = oneshot::channel();
        let pending = PendingClaim {
            ask,
            reply,
            due: self.clock.now() + limit,
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
