//! A feed is followed through outages and expired history, and never back to an older revision.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        control::{FeedFollower, FeedUpdate},
        key::StoreRevision,
        port::{Change, Changes, Feed, FeedError, FeedOrigin, Freshness, Listing, MonoClock},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::VecDeque,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// One scripted response: a listing or changes with their revision, or an error.
#[derive(Clone, Debug)]
enum Response {
    Listing(u64, &'static str),
    Changes(u64, Vec<&'static str>),
    Fails(FeedError),
}

/// Feed that responds by a script and records the requests.
#[derive(Clone, Debug)]
struct Scripted {
    script: Arc<Mutex<VecDeque<Response>>>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Scripted {
    fn next(&self, request: String) -> Response {
        self.requests.lock().unwrap().push(request);
        let next = self.script.lock().unwrap().pop_front();
        next.unwrap_or(Response::Fails(FeedError::Unreachable(
            "end of the script".into(),
        )))
    }
}

fn put(name: &str) -> Change<u64> {
    Change::Put(name.to_owned(), 1)
}

impl Feed for Scripted {
    type Item = u64;

    async fn list(&self, freshness: Freshness) -> Result<Listing<u64>, FeedError> {
        match self.next(format!("list {freshness:?}")) {
            Response::Listing(revision, name) => Ok(Listing {
                items: vec![put(name)],
                revision: revision.into(),
                origin: FeedOrigin::Store,
            }),
            Response::Fails(error) => Err(error),
            Response::Changes(..) => panic!("list requested where the script has changes"),
        }
    }

    async fn watch(&self, since: StoreRevision, _: Duration) -> Result<Changes<u64>, FeedError> {
        match self.next(format!("watch from {}", since.number)) {
            Response::Changes(revision, names) => Ok(Changes {
                changes: names.into_iter().map(put).collect(),
                revision: revision.into(),
                origin: FeedOrigin::Store,
            }),
            Response::Fails(error) => Err(error),
            Response::Listing(..) => panic!("watch requested where the script has a listing"),
        }
    }
}

/// Follows a feed with `script`; returns, for each step, the request and the update with the
/// revision reached.
async fn follow(script: Vec<Response>) -> Vec<(String, String)> {
    let steps = script.len();
    let feed = Scripted {
        script: Arc::new(Mutex::new(script.into())),
        requests: Arc::default(),
    };
    let rng = SmallRng::seed_from_u64(1);
    let wait = Duration::from_secs(4);
    let mut follower = FeedFollower::new(feed.clone(), MonoClock::start(), "test", wait, rng);
    let mut seen = Vec::new();
    for _ in 0..steps {
        let update = match follower.next().await {
            FeedUpdate::Listing(items) => format!("listing of {}", items.len()),
            FeedUpdate::Changes(items) => format!("changes: {}", items.len()),
            FeedUpdate::Unavailable => "unavailable".to_owned(),
            FeedUpdate::Unchanged => "unchanged".to_owned(),
        };
        let request = feed.requests.lock().unwrap().pop().unwrap();
        seen.push((
            request,
            format!("{update}, at {}", follower.revision().number),
        ));
    }
    seen
}

#[tokio::test(start_paused = true)]
async fn a_response_without_changes_does_not_advance_the_revision() {
    let seen = follow(vec![
        Response::Listing(8, "a"),
        Response::Changes(24, vec![]),
        Response::Changes(25, vec!["b"]),
        Response::Changes(25, vec![]),
    ]);
    assert_yaml_snapshot!(seen.await);
}

#[tokio::test(start_paused = true)]
async fn an_outage_or_expired_history_leads_to_a_listing_that_is_not_older() {
    let seen = follow(vec![
        Response::Fails(FeedError::Unreachable("down".into())),
        Response::Listing(8, "a"),
        Response::Fails(FeedError::Unreachable("cut".into())),
        Response::Listing(7, "stale"),
        Response::Listing(9, "a"),
        Response::Fails(FeedError::HistoryExpired),
        Response::Listing(12, "a"),
        Response::Changes(11, vec!["old"]),
    ]);
    assert_yaml_snapshot!(seen.await);
}

#[tokio::test(start_paused = true)]
async fn the_pause_after_a_change_is_short_at_first_and_longer_afterwards() {
    let changes = (1..=6).map(|revision| Response::Changes(revision, vec!["a"]));
    let script = std::iter::once(Response::Listing(0, "a")).chain(changes);
    let feed = Scripted {
        script: Arc::new(Mutex::new(script.collect())),
        requests: Arc::default(),
    };
    let rng = SmallRng::seed_from_u64(1);
    let wait = Duration::from_secs(4);
    let mut follower = FeedFollower::new(feed, MonoClock::start(), "test", wait, rng)
        .with_pause(Duration::from_secs(3))
        .with_initial_pause(Duration::from_millis(300), Duration::from_secs(1));
    let start = Instant::now();
    let mut seen = Vec::new();
    for _ in 0..7 {
        follower.next().await;
        seen.push(start.elapsed().as_millis());
    }
    assert_yaml_snapshot!(seen);
}

/// Feed whose list arrives block by block.
#[derive(Clone, Debug)]
struct SlowFeed {
    /// Time from one block to the next.
    pace: Duration,
    /// Number of blocks that arrive, and of those that make a list.
    blocks: (u64, u64),
    received: Arc<AtomicU64>,
}

impl Feed for SlowFeed {
    type Item = u64;

    async fn list(&self, _: Freshness) -> Result<Listing<u64>, FeedError> {
        let (arriving, whole) = self.blocks;
        for block in 0..whole {
            if block == arriving {
                std::future::pending::<()>().await;
            }
            sleep(self.pace).await;
            self.received.fetch_add(1, Ordering::AcqRel);
        }
        Ok(Listing {
            items: vec![put("a")],
            revision: 8.into(),
            origin: FeedOrigin::Store,
        })
    }

    async fn watch(&self, _: StoreRevision, _: Duration) -> Result<Changes<u64>, FeedError> {
        std::future::pending().await
    }

    fn list_progress(&self) -> u64 {
        self.received.load(Ordering::Acquire)
    }
}

/// A limit of 900 ms for a whole list broke off the lists of hundreds of daemons that started at once, which
/// shared the store's link, again and again.
#[tokio::test(start_paused = true)]
async fn a_list_may_take_long_while_it_is_being_received() {
    let mut seen = Vec::new();
    let cases = [
        ("one block late", 1_000, (1, 1)),
        ("six blocks at a pace of 400 ms", 400, (6, 6)),
        ("silent after two of six blocks", 400, (2, 6)),
        ("blocks without end", 400, (u64::MAX, u64::MAX)),
    ];
    for (name, pace_ms, blocks) in cases {
        let feed = SlowFeed {
            pace: Duration::from_millis(pace_ms),
            blocks,
            received: Arc::default(),
        };
        let rng = SmallRng::seed_from_u64(1);
        let wait = Duration::from_secs(4);
        let mut follower = FeedFollower::new(feed, MonoClock::start(), "test", wait, rng);
        let start = Instant::now();
        let listed = matches!(follower.next().await, FeedUpdate::Listing(_));
        let seconds = start.elapsed().as_secs_f64();
        seen.push(format!("{name}: listed {listed}, after {seconds:.1} s"));
    }
    assert_yaml_snapshot!(seen);
}
