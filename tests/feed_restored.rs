//! The store comes back from a copy some seconds old: its revisions are given out again, and what was
//! written since the copy is gone.

use {
    crate::{
        feed_zone::{SPREAD_LIMIT_MS, Zone},
        listed::listed,
    },
    bytes::Bytes,
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Blackboard, FeedLog, Fleet, Role, Section, Tick},
        control::{
            FeedFollower, MemberRosterController, MemberRosterParts, OrderLeases, RosterController,
        },
        decide::{FeedQuestion, feed_reply, record_changes, record_listing},
        fake::MemoryPlatform,
        key::StoreRevision,
        port::{
            Change, Changes, Clock, Feed, FeedError, FeedOrigin, FeedReply, Freshness, Listing,
            MemberEntry, MonoClock, Object, ObjectStore, PlatformError, RosterEntry,
        },
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time::{sleep, timeout},
    },
};

/// Number of changes that the lost history had and the copy lacks.
const LOST: usize = 15;

#[tokio::test(start_paused = true)]
async fn a_change_after_the_store_came_back_from_a_copy_reaches_every_daemon_in_time() {
    let mut late = Vec::new();
    for count in [1, 2, 30] {
        for missed in [0, 1, LOST + 5] {
            let zone = Zone::start(count).await;
            for number in 0..20 {
                zone.put(&format!("old-{number}"));
            }
            sleep(Duration::from_secs(5)).await;
            zone.store.lock().unwrap().restore(LOST);
            // Changes that are made before any daemon reads again.
            for number in 0..missed {
                zone.put(&format!("missed-{number}"));
            }
            zone.changed.send_replace(());
            let spread = zone.time_to_spread("after", &[]).await;
            if spread >= SPREAD_LIMIT_MS {
                late.push((count, missed, spread));
            }
            for daemon in zone.daemons.values() {
                let known = daemon.known.lock().unwrap();
                assert_eq!(known.len(), 1 + 20 - LOST + missed + 1, "{known:?}");
            }
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

fn at(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

#[test]
fn daemons_of_different_histories_do_not_pass_changes_on() {
    let mut log = FeedLog::<RosterEntry>::default();
    record_listing(&mut log, &[put("a", false, 1)], at(1, 40));
    record_changes(&mut log, &[put("b", false, 1)], at(1, 41));
    log.direct = true;
    log.valid_until = Duration::from_secs(9);
    let reply = |since| {
        let reply = feed_reply(
            &log,
            FeedQuestion {
                since,
                waited: true,
                now: Duration::ZERO,
                failed_ago: None,
            },
        );
        match reply {
            Some(FeedReply::Objects { revision, .. }) => format!("objects at {revision}"),
            reply => format!("{reply:?}"),
        }
    };
    let seen = [
        ("the same history", reply(Some(at(1, 40)))),
        (
            "the lost history, a greater revision",
            reply(Some(at(0, 90))),
        ),
        ("a later history, a smaller revision", reply(Some(at(2, 7)))),
        ("every object", reply(None)),
    ];
    assert_yaml_snapshot!(seen);
}

/// Revisions, each with a list or the changes that lead to it.
type Script<T> = Vec<(StoreRevision, Vec<Change<T>>)>;

/// Feed that responds by a script, and then waits for ever.
#[derive(Clone, Debug)]
struct Scripted<T>(Arc<Mutex<Script<T>>>);

impl<T> Scripted<T> {
    fn new(mut script: Script<T>) -> Self {
        script.reverse();
        Self(Arc::new(Mutex::new(script)))
    }
}

impl<T> Feed for Scripted<T>
where
    T: Clone + std::fmt::Debug + PartialEq + Send + Sync + 'static,
{
    type Item = T;

    async fn list(&self, _: Freshness) -> Result<Listing<T>, FeedError> {
        let next = self.0.lock().unwrap().pop();
        let Some((revision, items)) = next else {
            std::future::pending().await
        };
        Ok(Listing {
            items,
            revision,
            origin: FeedOrigin::Store,
        })
    }

    async fn watch(&self, since: StoreRevision, _: Duration) -> Result<Changes<T>, FeedError> {
        let next = self.0.lock().unwrap().last().map(|next| next.0.era);
        let restored = next.is_some_and(|era| era > since.era);
        if restored {
            return Err(FeedError::HistoryExpired);
        }
        let next = self.0.lock().unwrap().pop();
        let Some((revision, changes)) = next else {
            std::future::pending().await
        };
        Ok(Changes {
            changes,
            revision,
            origin: FeedOrigin::Store,
        })
    }
}

fn follower<T>(script: Script<T>) -> FeedFollower<Scripted<T>, MonoClock>
where
    T: Clone + std::fmt::Debug + PartialEq + Send + Sync + 'static,
{
    let rng = SmallRng::seed_from_u64(1);
    let wait = Duration::from_secs(4);
    FeedFollower::new(Scripted::new(script), MonoClock::start(), "test", wait, rng)
}

fn put(name: &str, draining: bool, incarnation: u64) -> Change<RosterEntry> {
    let (mut listed, mut description) = listed(name, "ledger", Role::Service);
    listed.draining = draining;
    description.incarnation = incarnation;
    Change::Put(
        name.to_owned(),
        RosterEntry {
            listed,
            description,
        },
    )
}

/// Names of the endpoints that may get requests.
fn ready(fleet: &Section<Fleet>) -> Vec<String> {
    let fleet = fleet.load();
    let ready = fleet
        .endpoints
        .iter()
        .filter(|(_, endpoint)| !endpoint.draining);
    let mut names: Vec<_> = ready.map(|(_, endpoint)| endpoint.name.clone()).collect();
    names.sort();
    names
}

/// The copy holds endpoints that have left since as ready, and lacks those that registered since.
#[tokio::test(start_paused = true)]
async fn endpoints_that_left_in_the_lost_history_get_no_requests_though_the_copy_lists_them() {
    let (board, writers) = Blackboard::new();
    let (reachable, _rx) = watch::channel(false);
    let follower = follower(vec![
        (
            at(0, 10),
            vec![
                put("leaves", false, 1),
                put("gone", false, 1),
                put("stays", false, 1),
                put("again", false, 1),
            ],
        ),
        (
            at(0, 12),
            vec![
                put("leaves", true, 1),
                Change::Removed("gone".to_owned()),
                put("new", false, 1),
                put("again", true, 1),
            ],
        ),
        // The copy, in which another process runs at `again` already.
        (
            at(1, 10),
            vec![
                put("leaves", false, 1),
                put("gone", false, 1),
                put("stays", false, 1),
                put("again", false, 2),
            ],
        ),
    ]);
    let controller = RosterController::new(follower, MonoClock::start(), writers.fleet, reachable);
    tokio::spawn(controller.run());
    let mut seen = Vec::new();
    for ms in [1_000, 1_500, 4_000] {
        sleep(Duration::from_millis(ms)).await;
        seen.push((ms, ready(&board.fleet)));
    }
    assert_yaml_snapshot!(seen);
}

fn member(name: &str) -> Change<MemberEntry> {
    Change::Put(name.to_owned(), member_entry(name))
}

fn member_entry(name: &str) -> MemberEntry {
    MemberEntry {
        name: name.to_owned(),
        zone: "zone-a".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        incarnation: 1,
        strength: 25,
    }
}

#[tokio::test(start_paused = true)]
async fn daemons_whose_entries_are_lost_register_again_and_stay_known_meanwhile() {
    let (board, writers) = Blackboard::new();
    let lapsed = Arc::new(Notify::new());
    let parts = MemberRosterParts {
        clock: MonoClock::start(),
        own: member_entry("own"),
        writer: writers.members,
        lapsed: Arc::clone(&lapsed),
    };
    let follower = follower(vec![
        (at(0, 10), vec![member("old")]),
        (
            at(0, 12),
            vec![member("own"), member("new"), member("dies")],
        ),
        (at(1, 10), vec![member("old")]),
        (at(1, 11), vec![member("new")]),
    ]);
    tokio::spawn(MemberRosterController::new(follower, parts).run());
    let again = timeout(Duration::from_secs(2), lapsed.notified())
        .await
        .is_ok();
    let mut seen = Vec::new();
    for seconds in [1, 11] {
        sleep(Duration::from_secs(seconds)).await;
        let members = board.members.load();
        let names = members.hosts.iter().map(|(_, host)| host.name.clone());
        let mut names: Vec<_> = names.collect();
        names.sort();
        seen.push(names);
    }
    assert_yaml_snapshot!((again, seen));
}

/// Store that came back from a copy at a known time.
#[derive(Clone, Debug)]
struct Restored(MemoryPlatform, MonoClock);

impl ObjectStore for Restored {
    async fn read(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        self.0.read(name).await
    }

    async fn create(&self, name: &str, body: Bytes) -> Result<u64, PlatformError> {
        self.0.create(name, body).await
    }

    async fn update(&self, name: &str, expected: u64, body: Bytes) -> Result<u64, PlatformError> {
        self.0.update(name, expected, body).await
    }

    fn restored_ago(&self) -> Option<Duration> {
        Some(self.1.now() - Tick::default())
    }
}

/// The lease of another holder may be gone with the lost history.
#[tokio::test(start_paused = true)]
async fn no_lease_is_acquired_within_a_term_after_the_store_came_back_from_a_copy() {
    let clock = MonoClock::start();
    let store = Restored(MemoryPlatform::default(), clock);
    let term = Duration::from_secs(8);
    let leases = OrderLeases::new(store, clock, "host-1".to_owned(), term);
    let mut seen = Vec::new();
    for seconds in [1, 6, 2] {
        sleep(Duration::from_secs(seconds)).await;
        let acquired = leases.acquire("stage-lease", 0, false).await;
        seen.push(acquired.map(|_| "acquired").map_err(|e| e.to_string()));
    }
    assert_yaml_snapshot!(seen);
}
