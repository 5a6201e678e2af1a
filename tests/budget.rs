//! The budget of platform calls, and the delays after failed calls.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::Tick,
        border::{BudgetedPlatform, CallCounters, PlatformClient},
        decide::{Backoff, CallClass, TokenBucket},
        fake::{FakePlatform, PlatformSettings},
        port::{Clock, ObjectStore, PlatformError},
    },
    prometheus_client::{encoding::text::encode, registry::Registry},
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, thread, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Platform calls per second, and the maximum burst.
const CALLS: u32 = 8;

/// A clock whose time never advances, so that the budget is not refilled.
#[derive(Clone, Debug)]
struct StoppedClock;

impl Clock for StoppedClock {
    fn now(&self) -> Tick {
        Tick(1_000_000)
    }

    fn since_boot(&self) -> Duration {
        Duration::from_secs(1)
    }

    fn unix_ms(&self) -> u64 {
        0
    }

    async fn sleep(&self, _: Duration) {}
}

#[test]
fn bucket_refills_and_reserves() {
    let bucket = TokenBucket::new(10, 4);
    let at = |ms: u64| Tick(ms * 1_000);
    let seen = vec![
        ("full", bucket.left(at(0)), bucket.try_take(at(0), 0)),
        (
            "reserve not reached",
            bucket.left(at(0)),
            bucket.try_take(at(0), 2),
        ),
        (
            "reserve reached",
            bucket.left(at(0)),
            bucket.try_take(at(0), 2),
        ),
        ("most urgent", bucket.left(at(0)), bucket.try_take(at(0), 0)),
        ("last", bucket.left(at(0)), bucket.try_take(at(0), 0)),
        ("empty", bucket.left(at(0)), bucket.try_take(at(0), 0)),
        (
            "one refilled",
            bucket.left(at(100)),
            bucket.try_take(at(100), 0),
        ),
        (
            "full again",
            bucket.left(at(60_000)),
            bucket.try_take(at(60_000), 0),
        ),
    ];
    assert_yaml_snapshot!(seen);
}

#[test]
fn bucket_never_grants_more_than_its_capacity() {
    let bucket = Arc::new(TokenBucket::new(1, 1_000));
    let take = |bucket: Arc<TokenBucket>| {
        let taken = move || (0..1_000).filter(|_| bucket.try_take(Tick(1), 0)).count();
        thread::spawn(taken)
    };
    let threads: Vec<_> = (0..4).map(|_| take(Arc::clone(&bucket))).collect();
    let taken: usize = threads.into_iter().map(|t| t.join().unwrap()).sum();
    assert_eq!(taken, 1_000);
}

#[test]
fn backoff_grows_and_spreads() {
    let base = Duration::from_millis(100);
    let delays = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut backoff = Backoff::new(base, Duration::from_secs(2));
        let delays: Vec<_> = (0..8).map(|_| backoff.fail(&mut rng).as_millis()).collect();
        delays
    };
    assert_yaml_snapshot!((delays(1), delays(2)));
}

#[tokio::test]
async fn spent_budget_sends_nothing() {
    let fake = FakePlatform::start(PlatformSettings::default())
        .await
        .unwrap();
    let client = PlatformClient::new(&fake.url(), TIMEOUT).unwrap();
    let mut registry = Registry::default();
    let counters = CallCounters::new(&mut registry, CALLS);
    let platform = BudgetedPlatform::new(client, StoppedClock, CALLS, counters);
    let mut seen = Vec::new();
    for class in [CallClass::Status, CallClass::Hosts, CallClass::Claims] {
        let handle = platform.with_class(class);
        let mut sent = 0;
        while handle.read("x").await != Err(PlatformError::Budget) {
            sent += 1;
        }
        seen.push((class.as_str(), sent));
    }
    assert_eq!(fake.observed().reads, u64::from(CALLS));
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    let mut lines: Vec<_> = text.lines().filter(|line| !line.starts_with('#')).collect();
    lines.sort_unstable();
    assert_yaml_snapshot!((seen, lines));
}
