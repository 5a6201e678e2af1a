use {
    super::StorePath,
    crate::{
        board::{FeedLog, Tick, Writer},
        decide::{Backoff, jitter, record_changes, record_listing},
        key::StoreRevision,
        port::{Change, Clock, Feed, FeedError, FeedOrigin, Freshness, Listing},
    },
    rand::rngs::SmallRng,
    std::{pin::pin, time::Duration},
    tokio::time::timeout,
};

/// Time limit of a response, on top of the time for which the call itself waits; for a list, of each part
/// that counts as progress.
const RESPONSE_LIMIT: Duration = Duration::from_millis(900);

/// Time limit of a list that is still being received. Hundreds of daemons that start at once need 2.4 s of the
/// store's link for 3,000 endpoints each.
const LIST_LIMIT: Duration = Duration::from_secs(10);

/// Delay after the first failed call; it doubles up to `MAX_RETRY_DELAY`.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Longest time from the beginning of a failed call to the next one. Not much longer than [`RETURN_SLACK`], so
/// that little of the time for expired entries to come back has passed at the first result.
const MAX_RETRY_DELAY: Duration = RESPONSE_LIMIT;

/// Delay after a call that found no source.
const NO_SOURCE_DELAY: Duration = Duration::from_millis(250);

/// Time for which a read vouches for what is passed on, on top of the wait of the next one. A store
/// that is slower than this is not waited for: the other daemons then read it themselves.
const VALID_SLACK: Duration = Duration::from_millis(600);

/// Shortest outage of the store in which entries of live endpoints may expire. They do after several
/// seconds without a sign of life, of which a daemon notices the last ones.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_secs(1);

/// Time after the store is known not to have answered at which it counts as back, if it answers the next call.
/// The rest of the time until that answer may have gone to a time limit and to the delay between the calls.
const RETURN_SLACK: Duration = Duration::from_millis(500);

/// Time after the path to the store was restored within which a call may still begin and get no response:
/// one call later, every connection is a new one.
const STALE_TIME: Duration = RESPONSE_LIMIT;

/// Follows a feed: lists its objects, then watches for changes, never returning to an older
/// revision.
#[derive(Debug)]
pub struct FeedFollower<F, C>
where
    F: Feed,
{
    feed: F,
    clock: C,
    kind: &'static str,
    /// Longest wait of one watch.
    wait: Duration,
    /// Pause after each change.
    pause: Duration,
    /// Shorter pause that replaces `pause` during a start, and when the start ends.
    initial: (Duration, Tick),
    /// Pause before the next watch.
    due: Duration,
    rng: SmallRng,
    backoff: Backoff,
    revision: StoreRevision,
    /// Whether the next call is a watch; otherwise it is a list.
    listed: bool,
    /// When the last call began.
    called: Tick,
    /// Time without a result that has not ended; `None` if the last call succeeded.
    outage: Option<FeedOutage>,
    /// When an outage of the store in which entries may have expired ended; `None` if none did. The
    /// store may have come back some tenths of a second later.
    outage_end: Option<Tick>,
    /// When the store was last seen to have come back from a copy; `None` if it never was.
    restored: Option<Tick>,
    /// What this feed and the others of the daemon know about the path to the store.
    path: StorePath,
    /// Log from which other daemons read, if there is one.
    log: Option<Writer<FeedLog<F::Item>>>,
}

/// Time without a result.
#[derive(Clone, Debug)]
struct FeedOutage {
    since: Tick,
    /// Why the last call failed.
    cause: FeedError,
    /// Latest time at which the store itself is known not to have answered; `None` if it was not called.
    failed: Option<Tick>,
}

impl FeedOutage {
    /// Returns when the store came back at the latest, as far as a result at `now` and the answers to the
    /// other feeds tell.
    fn end(&self, now: Tick, path: &StorePath) -> Tick {
        // An answer proves the path whole at its time, so it ends only what was known to fail before.
        let answered = path
            .whole_since()
            .filter(|whole| *whole >= self.since && Some(*whole) >= self.failed);
        let returned = self.failed.map(|failed| failed + RETURN_SLACK);
        [answered, returned]
            .into_iter()
            .flatten()
            .fold(now, Tick::min)
    }
}

/// Result of one call to the feed.
#[derive(Debug)]
pub enum FeedUpdate<T> {
    /// Every object of the feed.
    Listing(Vec<Change<T>>),
    /// Objects that changed since the previous result.
    Changes(Vec<Change<T>>),
    /// The store does not respond; earlier results may be out of date.
    Unavailable,
    /// No change is known.
    Unchanged,
}

impl<F, C> FeedFollower<F, C>
where
    F: Feed,
    C: Clock,
{
    /// Creates a follower whose watches wait up to `wait`; `kind` names the objects in log lines and
    /// `rng` feeds the jitter of the delays between retries.
    pub fn new(feed: F, clock: C, kind: &'static str, wait: Duration, rng: SmallRng) -> Self {
        Self {
            pause: Duration::ZERO,
            initial: (Duration::ZERO, Tick::default()),
            due: Duration::ZERO,
            feed,
            clock,
            kind,
            wait,
            rng,
            backoff: Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY),
            revision: StoreRevision::default(),
            listed: false,
            called: Tick::default(),
            outage: None,
            outage_end: None,
            restored: None,
            path: StorePath::default(),
            log: None,
        }
    }

    /// Sets the log in which every result is recorded for other daemons.
    #[must_use]
    pub fn with_log(self, log: Writer<FeedLog<F::Item>>) -> Self {
        Self {
            log: Some(log),
            ..self
        }
    }

    /// Sets what the feeds of the daemon share about its path to the store.
    #[must_use]
    pub fn with_path(self, path: StorePath) -> Self {
        Self { path, ..self }
    }

    /// Sets the pause after each change, so that changes in quick succession cost one call to the
    /// store. Changes that another daemon returned have been collected there already.
    #[must_use]
    pub fn with_pause(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }

    /// Sets a shorter pause for the first `time` after this call, while a starting daemon still has
    /// many changes to read.
    #[must_use]
    pub fn with_initial_pause(self, pause: Duration, time: Duration) -> Self {
        let until = self.clock.now() + time;
        Self {
            initial: (pause, until),
            ..self
        }
    }

    /// Returns when an outage of the store in which entries may have expired last ended; `None` if none
    /// did.
    pub fn outage_end(&self) -> Option<Tick> {
        self.outage_end
    }

    /// Returns when the store was last seen to have come back from a copy of some seconds before; `None`
    /// if it never was.
    pub fn restored(&self) -> Option<Tick> {
        self.restored
    }

    /// Returns the revision of the last result; 0 of era 0 before the first.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Lists or watches once and returns the result.
    ///
    /// A failed call is not an error: it returns `Unavailable` after the delay before the next call.
    pub async fn next(&mut self) -> FeedUpdate<F::Item> {
        let result = if self.listed {
            let pause = std::mem::take(&mut self.due);
            self.clock.sleep(pause).await;
            self.watch().await
        } else {
            self.list().await
        };
        match result {
            Ok(update) => update,
            Err(error @ (FeedError::HistoryExpired | FeedError::SourceChanged)) => {
                log::info!(kind = self.kind, revision = self.revision.number; "listing all objects: {error}");
                // Without a delay, a source that lists but does not watch would keep this task busy.
                self.clock.sleep(RETRY_DELAY).await;
                self.listed = false;
                FeedUpdate::Unchanged
            }
            Err(error) => self.record_failure(&error).await,
        }
    }

    async fn list(&mut self) -> Result<FeedUpdate<F::Item>, FeedError> {
        // The first list may be old, also after failures: nothing older is in use, and the watch that
        // follows at once returns what it lacks. The store answers such a list at a tenth of the price.
        let first = self.revision == StoreRevision::default();
        let freshness = if first {
            Freshness::Recent
        } else {
            Freshness::Latest
        };
        let listing = self.read_list(freshness).await?;
        if listing.revision < self.revision {
            let reason = format!(
                "it returned revision {}, older than the known revision {}",
                listing.revision, self.revision
            );
            return Err(FeedError::Refused(reason));
        }
        if !first && listing.revision.era > self.revision.era {
            log::warn!(kind = self.kind, era = listing.revision.era, revision = listing.revision.number, before = self.revision.number; "the store came back from a copy; what only its lost history held is dropped");
            let now = self.clock.now();
            let outage = self.outage.as_ref();
            self.restored = Some(outage.map_or(now, |outage| outage.end(now, &self.path)));
        }
        self.revision = listing.revision;
        self.listed = true;
        self.record_success(listing.origin);
        self.update_log(listing.origin, |log| {
            record_listing(log, &listing.items, listing.revision);
        });
        Ok(FeedUpdate::Listing(listing.items))
    }

    /// Reads a list; it may take longer than `RESPONSE_LIMIT` while it is being received.
    ///
    /// A list that is broken off is read again from the beginning, so that a time limit for the whole of
    /// it would keep a crowded link busy with lists that never end.
    async fn read_list(&mut self, freshness: Freshness) -> Result<Listing<F::Item>, FeedError> {
        self.called = self.clock.now();
        let end = self.called + LIST_LIMIT;
        let mut list = pin!(self.feed.list(freshness));
        loop {
            let progress = self.feed.list_progress();
            if let Ok(listing) = timeout(RESPONSE_LIMIT, list.as_mut()).await {
                return listing;
            }
            let now = self.clock.now();
            if self.feed.list_progress() == progress || now >= end {
                return Err(FeedError::TimedOut);
            }
            // The source has answered since, so only the time from now on may count as without an answer.
            self.called = now;
        }
    }

    async fn watch(&mut self) -> Result<FeedUpdate<F::Item>, FeedError> {
        let wait = self.feed.watch_wait(self.wait);
        self.called = self.clock.now();
        let watch = self.feed.watch(self.revision, wait);
        let changes = timeout(self.wait + RESPONSE_LIMIT, watch).await;
        let changes = changes.unwrap_or(Err(FeedError::TimedOut))?;
        if changes.revision < self.revision {
            let reason = format!(
                "it returned revision {}, older than the known revision {}",
                changes.revision, self.revision
            );
            return Err(FeedError::Refused(reason));
        }
        self.record_success(changes.origin);
        if changes.changes.is_empty() {
            // The store may have withheld changes, so an empty response does not prove that there are
            // none up to its revision. The known revision stays.
            self.update_log(changes.origin, |_| {});
            return Ok(FeedUpdate::Unchanged);
        }
        self.revision = changes.revision;
        self.update_log(changes.origin, |log| {
            record_changes(log, &changes.changes, changes.revision);
        });
        self.due = self.pause(changes.origin);
        Ok(FeedUpdate::Changes(changes.changes))
    }

    /// Returns the pause after a change.
    fn pause(&self, origin: FeedOrigin) -> Duration {
        let (initial, until) = self.initial;
        match origin {
            FeedOrigin::Peer { .. } => Duration::ZERO,
            FeedOrigin::Store if self.clock.now() < until => initial.min(self.pause),
            FeedOrigin::Store => self.pause,
        }
    }

    /// Changes the log after a successful read, if there is one.
    fn update_log<U>(&mut self, origin: FeedOrigin, change: U)
    where
        U: FnOnce(&mut FeedLog<F::Item>),
    {
        let Some(log) = &mut self.log else {
            return;
        };
        let valid = self.feed.watch_wait(self.wait) + VALID_SLACK + self.pause;
        let valid_until = self.clock.since_boot() + valid;
        log.update(|log| {
            log.direct = origin == FeedOrigin::Store;
            log.valid_until = valid_until;
            change(log);
        });
    }

    /// Ends an outage with a result from `origin`.
    fn record_success(&mut self, origin: FeedOrigin) {
        self.backoff.succeed();
        let now = self.clock.now();
        if origin == FeedOrigin::Store {
            self.path.answered(now);
        }
        let Some(mut outage) = self.outage.take() else {
            return;
        };
        if let FeedOrigin::Peer {
            failed_ago: Some(ago),
        } = origin
        {
            // A daemon that had results meanwhile knows that the store failed for the other one alone.
            let failed = Some(now.before(ago)).filter(|failed| *failed >= outage.since);
            outage.failed = outage.failed.max(failed);
        }
        let store = outage.failed.is_some();
        if store && now - outage.since >= MIN_EXPIRY_OUTAGE {
            self.outage_end = Some(outage.end(now, &self.path));
        }
        log::info!(dependency = "store", kind = self.kind, revision = self.revision.number, store; "regained");
    }

    async fn record_failure(&mut self, error: &FeedError) -> FeedUpdate<F::Item> {
        let before = self.outage.as_ref().map(|outage| &outage.cause);
        match before {
            None => {
                log::warn!(dependency = "store", kind = self.kind, revision = self.revision.number; "lost: {error}");
            }
            Some(before) if before != error => {
                log::warn!(dependency = "store", kind = self.kind, revision = self.revision.number; "still lost: {error}");
            }
            Some(_) => {}
        }
        let since = match error {
            FeedError::TimedOut => self.called,
            _ => self.clock.now(),
        };
        let failed = self.failed_at(error);
        if let Some(failed) = failed {
            self.path.failed(match error {
                FeedError::Refused(_) => failed,
                // A call that began before the path was restored says nothing about the time since.
                _ => failed.min(self.called.before(STALE_TIME)),
            });
        }
        let before = self.outage.take();
        self.outage = Some(FeedOutage {
            since: before.as_ref().map_or(since, |outage| outage.since),
            cause: error.clone(),
            failed: failed.max(before.and_then(|outage| outage.failed)),
        });
        // The store may have withheld changes from the watch that failed, so list all objects again.
        self.listed = false;
        self.withdraw_log(failed);
        let wait = self.retry_delay(error);
        tokio::select! {
            () = self.clock.sleep(wait) => {}
            () = self.path.restored_after(self.called) => {}
        }
        FeedUpdate::Unavailable
    }

    /// Returns the delay before the call after one that failed with `error`.
    fn retry_delay(&mut self, error: &FeedError) -> Duration {
        if *error == FeedError::NoSource {
            return jitter(NO_SOURCE_DELAY, &mut self.rng);
        }
        // A call that ran into its time limit has waited already.
        let waited = self.clock.now() - self.called;
        let delay = self.backoff.fail(&mut self.rng);
        delay.saturating_sub(waited).max(RETRY_DELAY / 2)
    }

    /// Returns the latest time at which the last call, which failed with `error`, shows that the store did
    /// not answer; `None` if it was not called.
    ///
    /// The path to the store may have been restored while the call was waiting for its time limit.
    fn failed_at(&self, error: &FeedError) -> Option<Tick> {
        if *error == FeedError::NoSource {
            return None;
        }
        let failed = match error {
            _ if !self.listed => self.called,
            FeedError::TimedOut => self.called + self.feed.watch_wait(self.wait),
            _ => self.clock.now(),
        };
        if matches!(error, FeedError::Refused(_)) {
            return Some(failed);
        }
        // Without a response, the call may have been lost on a connection from before the path was restored.
        Some(failed.before(STALE_TIME))
    }

    /// Records that other daemons are not to rely on the log, and when the store last failed, if it did.
    fn withdraw_log(&mut self, failed: Option<Tick>) {
        if let Some(log) = &mut self.log {
            log.update(|log| {
                log.direct = false;
                log.failed = log.failed.max(failed);
            });
        }
    }
}
