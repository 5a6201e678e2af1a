//! The feeds of a daemon share what they learn about its path to the store: an answer to one of them ends the
//! outage for all.

use {
    lentillead::{
        board::Tick,
        control::{FeedFollower, FeedUpdate, StorePath},
        key::StoreRevision,
        port::{
            Change, Changes, Clock, Feed, FeedError, FeedOrigin, Freshness, Listing, MonoClock,
        },
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
    tokio::{sync::watch, task::JoinHandle, time::sleep},
};

const SEEDS: u64 = 40;

/// How calls fail while the store is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Silent,
    Unreachable,
}

/// Feed of a store that may be lost to it.
#[derive(Clone, Debug)]
struct LostFeed(watch::Receiver<Option<Loss>>);

impl LostFeed {
    /// Fails or stays silent while the store is lost. A call that was made then is not answered later.
    async fn reach(&self) -> Result<(), FeedError> {
        let lost = *self.0.borrow();
        match lost {
            None => Ok(()),
            Some(Loss::Silent) => std::future::pending().await,
            Some(Loss::Unreachable) => Err(FeedError::Unreachable("cut off".to_owned())),
        }
    }
}

impl Feed for LostFeed {
    type Item = u64;

    async fn list(&self, _: Freshness) -> Result<Listing<u64>, FeedError> {
        self.reach().await?;
        Ok(Listing {
            items: vec![Change::Put("a".to_owned(), 1)],
            revision: 1.into(),
            origin: FeedOrigin::Store,
        })
    }

    async fn watch(&self, since: StoreRevision, wait: Duration) -> Result<Changes<u64>, FeedError> {
        let mut lost = self.0.clone();
        self.reach().await?;
        tokio::select! {
            () = async { drop(lost.wait_for(Option::is_some).await) } => self.reach().await?,
            () = sleep(wait) => {}
        }
        Ok(Changes {
            changes: Vec::new(),
            revision: since,
            origin: FeedOrigin::Store,
        })
    }
}

/// What a follower had when it listed after an outage.
#[derive(Clone, Copy, Debug)]
struct Regained {
    at: Tick,
    outage_end: Option<Tick>,
}

/// One feed of a daemon, which has listed and watches.
struct Following {
    loss: watch::Sender<Option<Loss>>,
    regained: JoinHandle<Regained>,
}

impl Following {
    async fn start(path: &StorePath, clock: MonoClock, seed: u64) -> Self {
        let (loss, state) = watch::channel(None);
        let rng = SmallRng::seed_from_u64(seed);
        let wait = Duration::from_secs(4);
        let mut follower = FeedFollower::new(LostFeed(state), clock, "test", wait, rng)
            .with_path(StorePath::clone(path));
        follower.next().await;
        let regained = tokio::spawn(async move {
            while !matches!(follower.next().await, FeedUpdate::Listing(_)) {}
            Regained {
                at: clock.now(),
                outage_end: follower.outage_end(),
            }
        });
        Self { loss, regained }
    }

    fn lose(&self, loss: Option<Loss>) {
        self.loss.send_replace(loss);
    }
}

/// Two feeds of a daemon.
async fn start(seed: u64) -> (MonoClock, [Following; 2]) {
    let clock = MonoClock::start();
    let path = StorePath::default();
    let first = Following::start(&path, clock, seed).await;
    let second = Following::start(&path, clock, seed + SEEDS).await;
    sleep(Duration::from_millis(1_000 + seed * 97)).await;
    (clock, [first, second])
}

#[tokio::test(start_paused = true)]
async fn a_feed_between_two_calls_calls_at_once_when_another_one_is_answered() {
    let mut late = Vec::new();
    for seed in 0..SEEDS {
        let (_, feeds) = start(seed).await;
        for feed in &feeds {
            feed.lose(Some(Loss::Unreachable));
        }
        sleep(Duration::from_secs(5)).await;
        for feed in &feeds {
            feed.lose(None);
        }
        let [first, second] = feeds.map(|feed| feed.regained);
        let (first, second) = (first.await.unwrap(), second.await.unwrap());
        let apart = first.at.max(second.at) - first.at.min(second.at);
        if apart > Duration::from_millis(2) {
            late.push((seed, apart));
        }
    }
    assert!(late.is_empty(), "{} of {SEEDS}: {late:?}", late.len());
}

/// One feed has a result, and the calls of the other one are still lost on connections from before.
#[tokio::test(start_paused = true)]
async fn an_outage_ends_for_a_feed_with_the_first_answer_to_another_one() {
    let mut late = Vec::new();
    for loss in [Loss::Silent, Loss::Unreachable] {
        for seed in 0..SEEDS {
            let (_, [quick, slow]) = start(seed).await;
            quick.lose(Some(Loss::Unreachable));
            slow.lose(Some(loss));
            sleep(Duration::from_secs(7)).await;
            quick.lose(None);
            sleep(Duration::from_millis(800)).await;
            slow.lose(None);
            let quick = quick.regained.await.unwrap();
            let slow = slow.regained.await.unwrap();
            if slow.outage_end.unwrap() > quick.at {
                late.push((loss, seed));
            }
        }
    }
    assert!(late.is_empty(), "{} of 80: {late:?}", late.len());
}

/// The other side: an answer says nothing about an outage that began after it.
#[tokio::test(start_paused = true)]
async fn an_answer_from_before_an_outage_does_not_end_it() {
    for loss in [Loss::Silent, Loss::Unreachable] {
        for seed in 0..SEEDS {
            let (clock, [quick, slow]) = start(seed).await;
            quick.lose(Some(Loss::Unreachable));
            slow.lose(Some(loss));
            sleep(Duration::from_secs(7)).await;
            quick.lose(None);
            sleep(Duration::from_secs(1)).await;
            quick.lose(Some(loss));
            sleep(Duration::from_secs(7)).await;
            let back = clock.now();
            slow.lose(None);
            let slow = slow.regained.await.unwrap();
            let early = back - slow.outage_end.unwrap();
            assert!(
                early <= Duration::from_millis(1_800),
                "{loss:?}, {seed}: {early:?}"
            );
        }
    }
}

/// A watch that began before another feed had its answer is lost in an outage that began after it.
#[tokio::test(start_paused = true)]
async fn an_answer_during_a_watch_does_not_end_an_outage_in_which_the_watch_is_lost() {
    for seed in 0..10 {
        let (clock, [quick, slow]) = start(seed).await;
        quick.lose(Some(Loss::Unreachable));
        sleep(Duration::from_millis(100)).await;
        quick.lose(None);
        quick.regained.await.unwrap();
        slow.lose(Some(Loss::Silent));
        let lost = clock.now();
        // The watch ends by its time limit 4.9 s after the start.
        sleep(Tick(4_850_000) - lost).await;
        slow.lose(None);
        let back = clock.now();
        let slow = slow.regained.await.unwrap();
        assert!(
            slow.outage_end.unwrap() > lost,
            "{seed}: {slow:?}, {back:?}"
        );
    }
}
