//! The store comes back from a copy some seconds old: its revisions are given out again, and what was
//! written since the copy is gone.

use {
    crate::{
        feed_zone::{SPREAD_LIMIT_MS, Zone},
        listed::listed,
    },
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{FeedLog, Role},
        decide::{FeedQuestion, feed_reply, record_changes, record_listing},
        key::StoreRevision,
        port::{Change, FeedReply, RosterEntry},
    },
    std::time::Duration,
    tokio::time::sleep,
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
