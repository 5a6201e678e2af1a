use {
    super::{ClaimSettings, claim_partition::ClaimPartition},
    crate::{
        board::{HostState, Members, Section, Tick},
        decide::{Backoff, ClaimGroup, ClaimTime},
        key::name_hash,
        port::{ClaimAsk, ClaimOutcome, ClaimRecord, ClaimStore, Clock, PlatformError},
    },
    rand::rngs::SmallRng,
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
};

/// Asks in one write.
const GROUP_MAX: usize = 512;
/// First delay after a failed platform call.
const BACKOFF_BASE: Duration = Duration::from_millis(10);
/// Longest delay after failed platform calls.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Age from which a holder that no member list knows counts as gone.
const HOLDER_GRACE: Duration = Duration::from_mins(1);

/// An ask that waits for its outcome.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) ask: ClaimAsk,
    pub(super) reply: oneshot::Sender<ClaimOutcome>,
    /// When the outcome is of no use any more.
    pub(super) due: Tick,
}

/// Commits the asks of one partition in groups, one conditional update a group.
#[derive(Debug)]
pub(super) struct ClaimCommitter<S, C> {
    clock: C,
    members: Section<Members>,
    settings: ClaimSettings,
    rng: SmallRng,
    partition: ClaimPartition<S>,
    /// Whether the partition was read or written since the last failure.
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

    /// Commits until every sender is gone.
    pub(super) async fn run(mut self, mut asks: mpsc::Receiver<PendingClaim>) {
        while let Some(first) = asks.recv().await {
            if !self.settings.window.is_zero() {
                self.clock.sleep(self.settings.window).await;
            }
            self.commit(vec![first], &mut asks).await;
        }
    }

    /// Commits `group` and what arrives while the platform is away.
    async fn commit(
        &mut self,
        mut group: Vec<PendingClaim>,
        asks: &mut mpsc::Receiver<PendingClaim>,
    ) {
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_MAX);
        let mut fresh = false;
        loop {
            gather(&mut group, asks);
            self.drop_late(&mut group);
            if group.is_empty() {
                return;
            }
            match self.attempt(&group, fresh).await {
                Ok(Some(outcomes)) => return answer(group, outcomes),
                Ok(None) | Err(PlatformError::Conflict { .. }) => {
                    self.loaded = false;
                    fresh = true;
                }
                Err(e) => {
                    log::warn!("claims were not committed: {e}");
                    if !is_unsent(&e) {
                        self.loaded = false;
                        fresh = true;
                    }
                    let delay = backoff.fail(&mut self.rng);
                    self.clock.sleep(delay).await;
                }
            }
        }
    }

    /// Decides and writes the group once; `None` asks for the head to be read first.
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
        let gone = |record: &ClaimRecord| is_gone(&members, record, time.now_ms);
        let asks = group.iter().map(|pending| &pending.ask);
        self.partition.table.decide(asks, time, gone)
    }

    /// Drops asks whose time has passed or whose asker has gone; they must not be written any more.
    fn drop_late(&self, group: &mut Vec<PendingClaim>) {
        let now = self.clock.now();
        group.retain(|pending| pending.due > now && !pending.reply.is_closed());
    }
}

/// Whether the call provably changed nothing, so that what was read before still holds.
fn is_unsent(error: &PlatformError) -> bool {
    matches!(error, PlatformError::Budget | PlatformError::Unavailable(_))
}

fn gather(group: &mut Vec<PendingClaim>, asks: &mut mpsc::Receiver<PendingClaim>) {
    while group.len() < GROUP_MAX
        && let Ok(pending) = asks.try_recv()
    {
        group.push(pending);
    }
}

fn answer(group: Vec<PendingClaim>, outcomes: Vec<ClaimOutcome>) {
    for (pending, outcome) in group.into_iter().zip(outcomes) {
        // The asker may have gone; its claim is then ended by the resolver.
        let _ = pending.reply.send(outcome);
    }
}

/// Whether the entry host that made `record` has died or restarted since.
fn is_gone(members: &Members, record: &ClaimRecord, now_ms: u64) -> bool {
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
