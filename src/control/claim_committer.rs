use {
    super::{ClaimSettings, claim_partition::ClaimPartition},
    crate::{
        board::{HostState, Members, Section, Tick},
        decide::{Backoff, ClaimGroup, ClaimTime},
        key::name_hash,
        port::{ClaimOutcome, ClaimRecord, ClaimRequest, ClaimStore, Clock, PlatformError},
    },
    rand::rngs::SmallRng,
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
};

/// Maximum number of requests in one conditional update.
const MAX_GROUP_REQUESTS: usize = 512;
/// Maximum delay after the first failed platform call; it doubles with each further failure.
const BACKOFF_BASE: Duration = Duration::from_millis(10);
/// Limit of the doubled delay.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Age of a record from which its holder counts as dead if the member list does not name it.
const HOLDER_GRACE: Duration = Duration::from_mins(1);

/// A claim request that waits for its outcome.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) request: ClaimRequest,
    pub(super) reply: oneshot::Sender<ClaimOutcome>,
    /// Time from which the outcome is of no use and the request must not be written.
    pub(super) deadline: Tick,
}

/// Commits the claim requests of one partition in groups, with one conditional update per group.
#[derive(Debug)]
pub(super) struct ClaimCommitter<S, C> {
    clock: C,
    members: Section<Members>,
    settings: ClaimSettings,
    rng: SmallRng,
    partition: ClaimPartition<S>,
    /// Whether the cached partition is usable: it was read or written since the last failure or
    /// conflict.
    loaded: bool,
}

impl<S, C> ClaimCommitter<S, C>
where
    S: ClaimStore,
    C: Clock,
{
    pub(super) fn new(
        ports: (S, C),
        members: Section<Members>,
        settings: ClaimSettings,
        number: u32,
        rng: SmallRng,
    ) -> Self {
        let (store, clock) = ports;
        Self {
            clock,
            members,
            settings,
            rng,
            partition: ClaimPartition::new(store, number),
            loaded: false,
        }
    }

    /// Commits requests until every sender is dropped.
    pub(super) async fn run(mut self, mut requests: mpsc::Receiver<PendingClaim>) {
        while let Some(first) = requests.recv().await {
            if !self.settings.window.is_zero() {
                self.clock.sleep(self.settings.window).await;
            }
            self.commit(vec![first], &mut requests).await;
        }
    }

    /// Commits `group` together with the requests that arrive before the platform accepts the write.
    ///
    /// Retries until the group is committed or every request in it has expired.
    async fn commit(
        &mut self,
        mut group: Vec<PendingClaim>,
        requests: &mut mpsc::Receiver<PendingClaim>,
    ) {
        let mut backoff = Backoff::new(BACKOFF_BASE, MAX_BACKOFF);
        let mut fresh = false;
        loop {
            fill(&mut group, requests);
            self.drop_expired(&mut group);
            if group.is_empty() {
                return;
            }
            match self.attempt(&group, fresh).await {
                Ok(Some(outcomes)) => return send_outcomes(group, outcomes),
                Ok(None) | Err(PlatformError::Conflict { .. }) => {
                    self.loaded = false;
                    fresh = true;
                }
                Err(e) => {
                    log::warn!(
                        "a group of claims was not committed, retrying until their deadlines: {e}"
                    );
                    if !is_unserved(&e) {
                        self.loaded = false;
                        fresh = true;
                    }
                    let delay = backoff.fail(&mut self.rng);
                    self.clock.sleep(delay).await;
                }
            }
        }
    }

    /// Decides and writes the group once.
    ///
    /// `fresh` is whether the head was read again for this group. Returns `None` if it was not but
    /// has to be, because an outcome relies on a record that may be stale. Fails with the error of the
    /// platform call.
    async fn attempt(
        &mut self,
        group: &[PendingClaim],
        fresh: bool,
    ) -> Result<Option<Vec<ClaimOutcome>>, PlatformError> {
        if !self.loaded {
            self.partition.load().await?;
            self.loaded = true;
        }
        let time = ClaimTime {
            now_ms: self.clock.unix_ms(),
            retention: self.settings.retention,
        };
        let decided = self.decide(group, time);
        if decided.verify && !fresh {
            return Ok(None);
        }
        if !decided.records.is_empty() {
            self.partition.append(decided.records, time).await?;
        }
        Ok(Some(decided.outcomes))
    }

    fn decide(&self, group: &[PendingClaim], time: ClaimTime) -> ClaimGroup {
        let members = self.members.load();
        let orphaned = |record: &ClaimRecord| is_orphaned(&members, record, time.now_ms);
        let requests = group.iter().map(|pending| &pending.request);
        self.partition.table.decide(requests, time, orphaned)
    }

    /// Drops requests whose deadline has passed or whose requester has disconnected; they must not
    /// be written any more.
    fn drop_expired(&self, group: &mut Vec<PendingClaim>) {
        let now = self.clock.now();
        group.retain(|pending| pending.deadline > now && !pending.reply.is_closed());
    }
}

/// Whether the platform did not serve the call, so that the cached partition is still usable.
fn is_unserved(error: &PlatformError) -> bool {
    matches!(error, PlatformError::Budget | PlatformError::Unavailable(_))
}

/// Adds waiting requests to `group`, up to `MAX_GROUP_REQUESTS`.
fn fill(group: &mut Vec<PendingClaim>, requests: &mut mpsc::Receiver<PendingClaim>) {
    while group.len() < MAX_GROUP_REQUESTS
        && let Ok(pending) = requests.try_recv()
    {
        group.push(pending);
    }
}

fn send_outcomes(group: Vec<PendingClaim>, outcomes: Vec<ClaimOutcome>) {
    for (pending, outcome) in group.into_iter().zip(outcomes) {
        // The requester may have disconnected; `ClaimRouter` then has its claim ended.
        let _ = pending.reply.send(outcome);
    }
}

/// Whether the entry host that made `record` has died or restarted since.
///
/// A host that is not in the member list counts as dead once the record is older than
/// `HOLDER_GRACE`.
fn is_orphaned(members: &Members, record: &ClaimRecord, now_ms: u64) -> bool {
    let holder = record.attempt.request;
    let host = members
        .hosts
        .iter()
        .map(|(_, host)| host)
        .find(|host| name_hash(&host.name) == holder.host);
    match host {
        Some(host) => host.state == HostState::Dead || host.incarnation > holder.incarnation,
        None => now_ms.saturating_sub(record.at_ms) > HOLDER_GRACE.as_millis() as u64,
    }
}
