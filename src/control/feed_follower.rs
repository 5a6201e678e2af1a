use {
    crate::{
        board::{FeedLog, Tick, Writer},
        decide::{Backoff, jitter, record_changes, record_listing},
        port::{Change, Clock, Feed, FeedError, FeedOrigin, Freshness},
    },
    rand::rngs::SmallRng,
    std::time::Duration,
    tokio::time::timeout,
};

/// Time limit of a response, on top of the time for which the call itself waits.
const RESPONSE_LIMIT: Duration = Duration::from_millis(900);

/// Delay after the first failed call; it doubles up to `MAX_RETRY_DELAY`.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Longest delay between failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Delay after a call that found no source.
const NO_SOURCE_DELAY: Duration = Duration::from_millis(250);

/// Time for which a read vouches for what is passed on, on top of the wait of the next one. A store
/// that is slower than this is not waited for: the other daemons then read it themselves.
const VALID_SLACK: Duration = Duration::from_millis(600);

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
    revision: u64,
    /// Whether the next call is a watch; otherwise it is a list.
    listed: bool,
    /// When a call last failed; `None` if none did.
    failed: Option<Tick>,
    /// Whether the last call failed.
    disconnected: bool,
    /// Log from which other daemons read, if there is one.
    log: Option<Writer<FeedLog<F::Item>>>,
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
            revision: 0,
            listed: false,
            failed: None,
            disconnected: false,
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

    /// Returns when a call to the store last failed; `None` if none did.
    pub fn failed(&self) -> Option<Tick> {
        self.failed
    }

    /// Returns the revision of the last result; 0 before the first.
    pub fn revision(&self) -> u64 {
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
            Ok(update) => {
                self.record_success();
                update
            }
            Err(error @ (FeedError::HistoryExpired | FeedError::SourceChanged)) => {
                log::info!(kind = self.kind, revision = self.revision; "listing all objects: {error}");
                // Without a delay, a source that lists but does not watch would keep this task busy.
                self.clock.sleep(RETRY_DELAY).await;
                self.listed = false;
                FeedUpdate::Unchanged
            }
            Err(error) => self.record_failure(&error).await,
        }
    }

    async fn list(&mut self) -> Result<FeedUpdate<F::Item>, FeedError> {
        // The first list may be old: nothing older is in use, and the watch that follows at once
        // returns what it lacks.
        let freshness = match self.revision {
            0 if self.failed.is_none() => Freshness::Recent,
            _ => Freshness::Latest,
        };
        let listing = timeout(RESPONSE_LIMIT, self.feed.list(freshness)).await;
        let listing = listing.unwrap_or_else(|_| Err(FeedError::timed_out()))?;
        if listing.revision < self.revision {
            let reason = format!(
                "it returned revision {}, older than the known revision {}",
                listing.revision, self.revision
            );
            return Err(FeedError::Refused(reason));
        }
        self.revision = listing.revision;
        self.listed = true;
        self.record_origin(listing.origin);
        self.update_log(listing.origin, |log| {
            record_listing(log, &listing.items, listing.revision);
        });
        Ok(FeedUpdate::Listing(listing.items))
    }

    async fn watch(&mut self) -> Result<FeedUpdate<F::Item>, FeedError> {
        let wait = self.feed.watch_wait(self.wait);
        let watch = self.feed.watch(self.revision, wait);
        let changes = timeout(self.wait + RESPONSE_LIMIT, watch).await;
        let changes = changes.unwrap_or_else(|_| Err(FeedError::timed_out()))?;
        if changes.revision < self.revision {
            let reason = format!(
                "it returned revision {}, older than the known revision {}",
                changes.revision, self.revision
            );
            return Err(FeedError::Refused(reason));
        }
        if changes.changes.is_empty() {
            // The store may have withheld changes, so an empty response does not prove that there are
            // none up to its revision. The known revision stays.
            self.update_log(changes.origin, |_| {});
            return Ok(FeedUpdate::Unchanged);
        }
        self.revision = changes.revision;
        self.record_origin(changes.origin);
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

    /// Takes over when a call to the store last failed from the daemon that returned a result.
    fn record_origin(&mut self, origin: FeedOrigin) {
        let FeedOrigin::Peer {
            failed_ago: Some(failed_ago),
        } = origin
        else {
            return;
        };
        let failed = self.clock.now().before(failed_ago);
        self.failed = self.failed.max(Some(failed));
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
        let failed = self.failed;
        log.update(|log| {
            log.direct = origin == FeedOrigin::Store;
            log.valid_until = valid_until;
            log.failed = failed;
            change(log);
        });
    }

    fn record_success(&mut self) {
        self.backoff.succeed();
        if self.disconnected {
            self.disconnected = false;
            log::info!(dependency = "store", kind = self.kind, revision = self.revision; "regained");
        }
    }

    async fn record_failure(&mut self, error: &FeedError) -> FeedUpdate<F::Item> {
        if !self.disconnected {
            self.disconnected = true;
            log::warn!(dependency = "store", kind = self.kind, revision = self.revision; "lost: {error}");
        }
        // The store may have withheld changes from the watch that failed, so list all objects again.
        self.listed = false;
        self.record_time_of_failure();
        let wait = match error {
            FeedError::NoSource => jitter(NO_SOURCE_DELAY, &mut self.rng),
            _ => self.backoff.fail(&mut self.rng),
        };
        self.clock.sleep(wait).await;
        self.record_time_of_failure();
        FeedUpdate::Unavailable
    }

    /// Records that a call has just failed; other daemons are not to rely on the log meanwhile.
    fn record_time_of_failure(&mut self) {
        let failed = Some(self.clock.now());
        self.failed = failed;
        if let Some(log) = &mut self.log {
            log.update(|log| {
                log.direct = false;
                log.failed = failed;
            });
        }
    }
}
