//! Daemons read a feed of the store from two readers of their zone. The store gets few calls, and a
//! change reaches every daemon soon, also when a reader dies, is suspended or is cut off from the
//! store.

use {
    crate::feed_zone::{Daemon, SPREAD_LIMIT_MS, WATCH, Zone, host},
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Arena, Host, Members},
        decide::{feed_sources, start_delay},
        key::HostKey,
        port::Change,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::atomic::Ordering,
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Longest time, in milliseconds, from the restoration of the path to the store until a reader has listed: a call
/// that fails and the delay after it.
const RESTORED_LIMIT_MS: u128 = 1_300;

/// Longest time, in milliseconds, from the end of an outage until daemons that started in it have listed.
const START_LIMIT_MS: u128 = 1_500;

#[tokio::test(start_paused = true)]
async fn calls_to_the_store_at_rest_do_not_grow_with_the_daemons() {
    let mut calls = Vec::new();
    for count in [1, 2, 30, 60] {
        let zone = Zone::start(count).await;
        let rest = zone.calls_within(Duration::from_mins(1)).await;
        let spread = zone.time_to_spread("e1", &[]).await;
        calls.push(format!(
            "{count} daemons: {rest} calls/min, change known after {spread} ms"
        ));
    }
    assert_yaml_snapshot!(calls);
}

/// A daemon that had never listed waited 4 s between its calls like one that has objects to go on with.
#[tokio::test(start_paused = true)]
async fn daemons_that_start_while_the_store_does_not_answer_list_soon_after_it_does() {
    let mut late = Vec::new();
    for outage_ms in (500..6_000).step_by(500) {
        let zone = Zone::start_cut(30);
        sleep(Duration::from_millis(outage_ms)).await;
        zone.store.lock().unwrap().cut.clear();
        let start = Instant::now();
        let listed = |daemon: &Daemon| daemon.known.lock().unwrap().contains("e0");
        while !zone.daemons.values().all(listed) {
            sleep(Duration::from_millis(1)).await;
        }
        let took = start.elapsed().as_millis();
        if took > START_LIMIT_MS {
            late.push(format!("outage of {outage_ms} ms: {took} ms"));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// The readers list at different revisions although the feed has not changed, since the store's revision also
/// counts other objects. Followers listed at one reader, were told by the other one to list again, and so on
/// without end.
#[tokio::test(start_paused = true)]
async fn followers_list_once_although_the_readers_listed_at_different_revisions() {
    let mut seen = Vec::new();
    for pause_ms in [0, 20, 100] {
        let zone = Zone::start_apart(30, Duration::from_millis(pause_ms)).await;
        let lists = zone.peers.lists.load(Ordering::Acquire);
        sleep(Duration::from_mins(1)).await;
        let later = zone.peers.lists.load(Ordering::Acquire) - lists;
        seen.push(format!("{pause_ms} ms apart: {later} lists in a minute"));
    }
    assert_yaml_snapshot!(seen);
}

/// A list of endpoints that is too large for a reply was read from the store twice by most daemons that started
/// at once: their first one is older than that of their reader.
#[tokio::test(start_paused = true)]
async fn daemons_that_start_list_many_endpoints_once_at_the_store() {
    let mut seen = Vec::new();
    for earlier_release in [true, false] {
        let zone = Zone::empty();
        for number in 1..3_000 {
            zone.put(&format!("endpoint-{number}"));
        }
        let release = &zone.peers.earlier_release;
        release.store(earlier_release, Ordering::Release);
        let zone = zone.start_daemons(30, Duration::from_millis(20)).await;
        let lists = zone.store.lock().unwrap().lists;
        let daemons = zone.daemons.values();
        let complete = daemons.filter(|daemon| daemon.known.lock().unwrap().len() == 3_000);
        seen.push(format!(
            "readers of an earlier release {earlier_release}: {lists} lists at the store, {} daemons know all",
            complete.count()
        ));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_change_reaches_every_daemon_soon_while_readers_fail() {
    let faults = ["dead", "suspended", "cut off from the store"];
    let cases = faults.map(|fault| [(fault, 1), (fault, 2)]).concat();
    for (fault, failing) in cases {
        // The daemons' reads are at different points when the readers fail.
        for delay_ms in [0, 250, 500, 750] {
            let zone = Zone::start(30).await;
            sleep(Duration::from_millis(delay_ms)).await;
            let readers: Vec<_> = zone.readers().into_iter().take(failing).collect();
            for reader in &readers {
                match fault {
                    "dead" => zone.kill(reader),
                    "suspended" => {
                        zone.daemons[reader].suspend.notify_one();
                        zone.peers.silent.lock().unwrap().insert(reader.clone());
                    }
                    _ => {
                        zone.store.lock().unwrap().cut.insert(reader.clone());
                        zone.changed.send_replace(());
                    }
                }
            }
            let without = if fault == "cut off from the store" {
                Vec::new()
            } else {
                readers
            };
            let spread = zone.time_to_spread("e1", &without).await;
            let later = zone.time_to_spread("e2", &without).await;
            let slowest = spread.max(later);
            assert!(
                slowest < SPREAD_LIMIT_MS,
                "{failing} {fault} after {delay_ms} ms: {slowest} ms"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_of_the_store_costs_few_calls_and_ends_soon_for_every_daemon() {
    let mut seen = Vec::new();
    for count in [2, 30, 60] {
        let zone = Zone::start(count).await;
        let hosts: BTreeSet<_> = zone.daemons.keys().cloned().collect();
        zone.store.lock().unwrap().cut = hosts;
        zone.changed.send_replace(());
        let calls = zone.calls_within(Duration::from_secs(20)).await;
        zone.store.lock().unwrap().cut.clear();
        let spread = zone.time_to_spread("e1", &[]).await;
        seen.push(format!("{count} daemons: {calls} calls in 20 s"));
        assert!(spread < SPREAD_LIMIT_MS, "known {spread} ms after the end");
    }
    assert_yaml_snapshot!(seen);
}

/// The connection of a reader to the store may go silent: the reader then reports no change until its
/// watch times out. Requests went to endpoints that had left for longer than the drain period.
#[tokio::test(start_paused = true)]
async fn a_reader_whose_watch_is_silent_delays_nobody() {
    let zone = Zone::start(30).await;
    for reader in zone.readers() {
        zone.store.lock().unwrap().silent = BTreeSet::from([reader.clone()]);
        // The watch that is open returns once; the next one hears nothing.
        zone.put(&format!("before-{reader}"));
        sleep(Duration::from_millis(100)).await;
        let spread = zone
            .time_to_spread(&format!("after-{reader}"), &[reader])
            .await;
        assert!(spread < SPREAD_LIMIT_MS, "{spread} ms");
        zone.store.lock().unwrap().silent.clear();
        sleep(Duration::from_secs(10)).await;
    }
}

/// A reader that was cut off asked the other one, whose connection had gone silent, for as long as a list may
/// take, so it did not call the store although its path was whole again.
#[tokio::test(start_paused = true)]
async fn a_reader_whose_path_is_restored_lists_at_the_store_while_the_other_one_is_silent() {
    let mut late = Vec::new();
    for cut_ms in (3_000..5_000).step_by(100) {
        let zone = Zone::start(2).await;
        let [cut, other] = zone.readers().try_into().unwrap();
        // It has read from the other one before.
        zone.store.lock().unwrap().cut.insert(cut.clone());
        zone.changed.send_replace(());
        zone.time_to_spread("e1", &[]).await;
        zone.store.lock().unwrap().cut.clear();
        sleep(Duration::from_secs(10)).await;
        zone.store.lock().unwrap().cut.insert(cut.clone());
        zone.peers.silent.lock().unwrap().insert(other.clone());
        zone.changed.send_replace(());
        sleep(Duration::from_millis(cut_ms)).await;
        zone.store.lock().unwrap().cut.clear();
        let spread = zone.time_to_spread("e2", &[other]).await;
        if spread > RESTORED_LIMIT_MS {
            late.push(format!("cut for {cut_ms} ms: {spread} ms"));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// The store stops answering both readers of the zone, so no daemon learned that an endpoint leaves.
#[tokio::test(start_paused = true)]
async fn a_zone_whose_readers_all_have_silent_watches_still_learns_of_changes() {
    let zone = Zone::start(30).await;
    let readers = zone.readers();
    for delay_ms in [0, 100, 700, 1_500, 3_900] {
        sleep(Duration::from_millis(delay_ms)).await;
        zone.store.lock().unwrap().silent = readers.iter().cloned().collect();
        // The watches that are open return once; the next ones hear nothing.
        zone.put(&format!("before-{delay_ms}"));
        sleep(Duration::from_millis(100)).await;
        let spread = zone
            .time_to_spread(&format!("after-{delay_ms}"), &readers)
            .await;
        assert!(spread < SPREAD_LIMIT_MS, "{spread} ms");
        zone.store.lock().unwrap().silent.clear();
        sleep(Duration::from_secs(10)).await;
    }
}

/// Endpoints that leave without a word are removed from the store, and so are those whose entries
/// expire in an outage; the latter are used on for a while.
#[tokio::test(start_paused = true)]
async fn an_endpoint_removed_while_only_the_readers_lose_the_store_is_not_taken_for_expired() {
    let mut seen = Vec::new();
    for (fault, delay_ms) in [("silent", 0), ("silent", 700), ("cut", 0), ("cut", 700)] {
        let zone = Zone::start(30).await;
        sleep(Duration::from_millis(delay_ms)).await;
        let readers = zone.readers();
        let lost = readers.iter().cloned().collect();
        match fault {
            "silent" => zone.store.lock().unwrap().silent = lost,
            _ => zone.store.lock().unwrap().cut = lost,
        }
        zone.put("last heard");
        sleep(Duration::from_millis(100)).await;
        zone.change(Change::Removed("e0".to_owned()));
        sleep(Duration::from_millis(SPREAD_LIMIT_MS as u64)).await;
        let others = zone
            .daemons
            .iter()
            .filter(|(name, _)| !readers.contains(name));
        let count = |holds: fn(&Daemon) -> bool| others.clone().filter(|(_, d)| holds(d)).count();
        let used = count(|daemon| daemon.known.lock().unwrap().contains("e0"));
        let expired = count(|daemon| daemon.expired.lock().unwrap().contains("e0"));
        seen.push(format!(
            "{fault} after {delay_ms} ms: {used} use it, {expired} take it for expired"
        ));
        zone.store.lock().unwrap().silent.clear();
        zone.store.lock().unwrap().cut.clear();
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_removed_in_an_outage_of_the_store_is_taken_for_expired() {
    let mut seen = Vec::new();
    for (count, outage_ms) in [
        (2, 2_500),
        (2, 6_000),
        (30, 2_500),
        (30, 3_300),
        (30, 6_000),
        (30, 20_000),
    ] {
        let zone = Zone::start(count).await;
        zone.store.lock().unwrap().cut = zone.daemons.keys().cloned().collect();
        zone.changed.send_replace(());
        sleep(Duration::from_millis(outage_ms)).await;
        zone.change(Change::Removed("e0".to_owned()));
        zone.store.lock().unwrap().cut.clear();
        zone.time_to_spread("e1", &[]).await;
        let daemons = zone.daemons.values();
        let expired = daemons.filter(|daemon| daemon.expired.lock().unwrap().contains("e0"));
        seen.push(format!(
            "{} of {count} after {outage_ms} ms",
            expired.count()
        ));
    }
    assert_yaml_snapshot!(seen);
}

/// A reader that wakes from a suspension has old objects; it must not pass for up to date.
#[tokio::test(start_paused = true)]
async fn a_reader_that_was_suspended_does_not_answer_from_before() {
    let zone = Zone::start(30).await;
    let readers = zone.readers();
    for reader in &readers {
        zone.daemons[reader].suspend.notify_one();
    }
    // Their relays still reply, but none of their reads vouches for the objects any more.
    sleep(WATCH * 2).await;
    assert!(zone.time_to_spread("e1", &readers).await < SPREAD_LIMIT_MS);
}

#[tokio::test(start_paused = true)]
async fn expired_history_and_removals_reach_every_daemon() {
    let zone = Zone::start(30).await;
    for number in 1..20 {
        zone.put(&format!("e{number}"));
    }
    zone.change(Change::Removed("e3".to_owned()));
    let revision = zone.store.lock().unwrap().revision();
    zone.store.lock().unwrap().forgotten = revision;
    zone.time_to_spread("last", &[]).await;
    sleep(Duration::from_secs(5)).await;
    let expected: BTreeSet<_> = zone.daemons["host-0"].known.lock().unwrap().clone();
    assert_eq!(expected.len(), 20, "{expected:?}");
    for daemon in zone.daemons.values() {
        assert_eq!(*daemon.known.lock().unwrap(), expected);
    }
}

/// Hundreds of daemons that start at once would all read the new entries of all others in the same moment.
#[test]
fn first_reads_of_many_daemons_that_start_together_are_spread() {
    let mut seen = Vec::new();
    for count in [6, 64, 100, 300] {
        let mut hosts = Arena::<HostKey, Host>::default();
        for number in 0..count {
            let name = format!("daemon-{number:04}.region-1.example");
            hosts.insert(&name, host(&name, 25));
        }
        let mut halves = BTreeMap::<u64, usize>::new();
        for own in hosts.iter().map(|(key, _)| key) {
            let hosts = hosts.clone();
            let delay = start_delay(&Members {
                hosts,
                own,
                is_listed: true,
            });
            *halves.entry(delay.as_millis() as u64 / 500).or_default() += 1;
        }
        seen.push((count, halves));
    }
    assert_yaml_snapshot!(seen);
}

/// After a start of all daemons the readers sent complete lists without end: most of what the busiest daemon sent.
#[tokio::test(start_paused = true)]
async fn readers_send_little_after_daemons_have_started_together() {
    let mut seen = Vec::new();
    for (name, earlier_release) in [("an earlier release", true), ("this release", false)] {
        let zone = Zone::empty();
        for number in 1..300 {
            zone.put(&format!("endpoint-{number}"));
        }
        let release = &zone.peers.earlier_release;
        release.store(earlier_release, Ordering::Release);
        let zone = zone.start_daemons(100, Duration::from_millis(20)).await;
        sleep(Duration::from_secs(20)).await;
        let sent = zone.peers.sent.lock().unwrap();
        let busiest = sent.values().max().unwrap_or(&0) / 1_000;
        seen.push(format!("readers of {name}: the busiest sent {busiest} KB"));
    }
    assert_yaml_snapshot!(seen);
}

/// The delay of the first read must not keep a change from the daemons that read late.
#[tokio::test(start_paused = true)]
async fn a_change_right_after_the_start_reaches_every_daemon_of_a_large_zone() {
    let zone = Zone::start_new(100);
    sleep(Duration::from_millis(100)).await;
    let spread = zone.time_to_spread("e1", &[]).await;
    let later = zone.time_to_spread("e2", &[]).await;
    assert!(later < SPREAD_LIMIT_MS, "{later} ms");
    assert_yaml_snapshot!(spread);
}

#[test]
fn readers_are_strong_hosts_of_the_own_zone() {
    let mut hosts = Arena::<HostKey, Host>::default();
    for number in 0..12 {
        let name = format!("host-{number:02}");
        let mut host = host(&name, if number % 3 == 0 { 50 } else { 12 });
        if number >= 8 {
            host.zone = "zone-b".to_owned();
        }
        hosts.insert(&name, host);
    }
    let names: HashMap<_, _> = hosts
        .iter()
        .map(|(key, host)| (key, host.name.clone()))
        .collect();
    let mut chosen = Vec::new();
    for (own, name) in hosts.iter().map(|(key, host)| (key, host.name.clone())) {
        let members = Members {
            hosts: hosts.clone(),
            own,
            is_listed: true,
        };
        let sources = feed_sources(&members, |_| false);
        let sources: Vec<_> = sources.iter().map(|key| names[key].as_str()).collect();
        chosen.push(format!("{name}: {}", sources.join(", ")));
    }
    assert_yaml_snapshot!(chosen);
}
