use {
    crate::{
        board::Tick,
        decide::Backoff,
        port::{Change, Clock, Feed, FeedError},
    },
    rand::rngs::SmallRng,
    std::time::Duration,
    tokio::time::timeout,
};

/// Time for an answer beyond the time that the call itself waits.
const ANSWER_TIME: Duration = Duration::from_millis(900);

/// First wait after a failed call; it doubles up to `RETRY_MOST`.
const RETRY_WAIT: Duration = Duration::from_millis(60);

/// Longest wait between failed calls.
const RETRY_MOST: Duration = Duration::from_millis(1_200);

/// Reads a feed and its changes without ever going back to an older revision.
#[derive(Debug)]
pub struct FeedFollower<F, C> {
    feed: F,
    clock: C,
    kind: &'static str,
    wait: Duration,
    pause: Duration,
    first: (Duration, Tick),
    due: Duration,
    rng: SmallRng,
    backoff: Backoff,
    revision: u64,
    listed: bool,
    failed: Option<Tick>,
    lost: bool,
}

/// What a feed told.
#[derive(Debug)]
pub enum News<T> {
    /// Every object there is.
    All(Vec<Change<T>>),
    /// What changed since the news before.
    Some(Vec<Change<T>>),
    /// The store does not answer; what was told before is getting old.
    Lost,
    /// Nothing changed.
    Same,
}

impl<F, C> FeedFollower<F, C>
where
    F: Feed,
    C: Clock,
{
    /// Creates a follower whose watches wait up to `wait`; `kind` names the objects in logs.
    pub fn new(feed: F, clock: C, kind: &'static str, wait: Duration, rng: SmallRng) -> Self {
        Self {
            pause: Duration::ZERO,
            first: (Duration::ZERO, Tick::default()),
            due: Duration::ZERO,
            feed,
            clock,
            kind,
            wait,
            rng,
            backoff: Backoff::new(RETRY_WAIT, RETRY_MOST),
            revision: 0,
            listed: false,
            failed: None,
            lost: false,
        }
    }

    /// Waits for `pause` after each change, so that changes that come together cost one call.
    #[must_use]
    pub fn gather(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }

    /// Waits only for `pause` in the first `time`, in which a daemon has much to learn.
    #[must_use]
    pub fn gather_first(self, pause: Duration, time: Duration) -> Self {
        let until = self.clock.now() + time;
        Self {
            first: (pause, until),
            ..self
        }
    }

    /// When the store last failed to answer.
    pub fn failed(&self) -> Option<Tick> {
        self.failed
    }

    /// Revision of what was told last.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Waits for the next news.
    pub async fn next(&mut self) -> News<F::Item> {
        let news = if self.listed {
            let pause = std::mem::take(&mut self.due);
            self.clock.sleep(pause).await;
            self.watch().await
        } else {
            self.list().await
        };
        match news {
            Ok(news) => {
                self.regained();
                news
            }
            Err(FeedError::Gone) => {
                log::info!(kind = self.kind, revision = self.revision; "history is gone; listing anew");
                self.listed = false;
                News::Same
            }
            Err(error) => self.missed(&error).await,
        }
    }

    async fn list(&mut self) -> Result<News<F::Item>, FeedError> {
        let listing = timeout(ANSWER_TIME, self.feed.list()).await;
        let listing = listing.unwrap_or_else(|_| Err(silent()))?;
        if listing.revision < self.revision {
            let why = format!(
                "revision {} is older than {}",
                listing.revision, self.revision
            );
            return Err(FeedError::Refused(why));
        }
        self.revision = listing.revision;
        self.listed = true;
        Ok(News::All(listing.items))
    }

    async fn watch(&mut self) -> Result<News<F::Item>, FeedError> {
        let watch = self.feed.watch(self.revision, self.wait);
        let changes = timeout(self.wait + ANSWER_TIME, watch).await;
        let changes = changes.unwrap_or_else(|_| Err(silent()))?;
        if changes.revision < self.revision {
            let why = format!(
                "revision {} is older than {}",
                changes.revision, self.revision
            );
            return Err(FeedError::Refused(why));
        }
        if changes.changes.is_empty() {
            // The store may have kept changes back: an answer without any proves nothing.
            return Ok(News::Same);
        }
        self.revision = changes.revision;
        let (first, until) = self.first;
        self.due = if self.clock.now() < until {
            first.min(self.pause)
        } else {
            self.pause
        };
        Ok(News::Some(changes.changes))
    }

    fn regained(&mut self) {
        self.backoff.succeed();
        if self.lost {
            self.lost = false;
            log::info!(dependency = "store", kind = self.kind, revision = self.revision; "regained");
        }
    }

    async fn missed(&mut self, error: &FeedError) -> News<F::Item> {
        if !self.lost {
            self.lost = true;
            log::warn!(dependency = "store", kind = self.kind, revision = self.revision; "lost: {error}");
        }
        // A watch that was cut may have been kept without changes before.
        self.listed = false;
        self.failed = Some(self.clock.now());
        let wait = self.backoff.fail(&mut self.rng);
        self.clock.sleep(wait).await;
        self.failed = Some(self.clock.now());
        News::Lost
    }
}

fn silent() -> FeedError {
    FeedError::Unreachable("no answer in time".to_owned())
}
