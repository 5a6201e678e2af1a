//! Daemons as processes: planned stops, crashes, pauses, outages and leaving endpoints.

use {
    super::{
        process::LIMIT,
        process_site::{PROFILE, ProcessSite, items, until},
    },
    insta::assert_json_snapshot,
    lentillead::{
        emulator::{Caller, Ending, LoadItem, LoadPayload, Observation, Site},
        key::name_hash,
    },
    rustix::process::Signal,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::Instant,
};

/// Size and rate of the load in which a daemon is killed.
const REQUESTS: u32 = 90;
const RATE: f64 = 20.0;

/// What must hold of a load while daemons stop as planned.
async fn planned(site: &ProcessSite, seen: &[Observation]) -> Value {
    let verdict = site.judge(seen).await;
    let broken: Vec<_> = seen
        .iter()
        .filter(|one| one.end != Ending::Answered)
        .collect();
    assert!(broken.is_empty(), "{broken:?}");
    json!({
        "answered": verdict.answered,
        "cut": verdict.broken + verdict.wrong + verdict.lost,
        "ran_twice": verdict.ran_twice,
        "memory_held_after": verdict.memory_held_after,
    })
}

fn order(key: &str) -> LoadItem {
    LoadItem {
        at: Duration::ZERO,
        branch: PROFILE.branches()[0].to_owned(),
        kind: "order".to_owned(),
        payload: LoadPayload::Service {
            path: "/orders".to_owned(),
            body: "{\"sacks\":2}".to_owned(),
            key: Some(key.to_owned()),
        },
        disconnect_after: None,
    }
}

fn summary(number: u32) -> LoadItem {
    LoadItem {
        kind: "price-summary".to_owned(),
        payload: LoadPayload::Completion {
            prompt: format!("prices of catalogue {number}"),
            max_tokens: 64,
        },
        ..order("")
    }
}

async fn send_order(site: &ProcessSite, daemon: usize, key: &str) -> Observation {
    let caller = Caller::new(site.client.clone(), LIMIT);
    let address = site.daemons[daemon].address("callers");
    let branch = Site::branch_key(PROFILE.branches()[0]);
    caller.send(&address, &branch, "", &order(key)).await
}

/// How often the service ran `key`.
async fn runs(site: &ProcessSite, key: &str) -> usize {
    let seen = site.services_seen().await;
    seen.iter()
        .filter_map(|service| service.runs.get(key))
        .map(Vec::len)
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() {
    let mut site = ProcessSite::start(2, "").await;
    let load = site.load(60, 15.0);
    site.generating().await;
    let exit = site.stop(0).await;
    let seen = planned(&site, &load.await.unwrap()).await;
    assert_json_snapshot!("process_planned_stop", json!({"exit": exit, "load": seen}));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_only_daemon_stops_as_planned() {
    let mut site = ProcessSite::start(1, "").await;
    let seen = send_order(&site, 0, "before-the-stop").await;
    let exit = site.stop(0).await;
    assert_json_snapshot!(
        "process_only_daemon",
        json!({"exit": exit, "order": seen.end})
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_is_replaced_under_load() {
    let mut site = ProcessSite::start(2, "").await;
    let load = site.load(120, 12.0);
    site.generating().await;
    let mut exits = Vec::new();
    for _ in 0..2 {
        site.add_daemon().await;
        let newest = site.daemons.len() - 1;
        until("the new daemon is ready", async || {
            site.status(newest).await.is_some_and(|status| status.ready)
        })
        .await;
        exits.push(site.stop(0).await);
    }
    let seen = planned(&site, &load.await.unwrap()).await;
    assert_json_snapshot!(
        "process_rolling_replacement",
        json!({"exits": exits, "load": seen})
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_a_daemon_at_once() {
    let mut site = ProcessSite::start(1, "").await;
    let stall = json!({"faults": [{"kind": "stall-tokens", "ms": 600_000, "chance": 1.0}]});
    for engine in &site.engines[2..] {
        site.control_at(engine, stall.clone()).await;
    }
    let load = site.load(20, 100.0);
    until("an engine holds memory", async || {
        site.engines_seen().await.iter().any(|seen| seen.used > 0)
    })
    .await;
    site.daemons[0].process.signal(Signal::TERM);
    until("the daemon is stopping", async || {
        site.status(0).await.is_none_or(|status| status.stopping)
    })
    .await;
    site.daemons[0].process.signal(Signal::TERM);
    let exit = site.daemons[0].process.ended().await;
    load.abort();
    assert_json_snapshot!("process_second_signal", json!({ "exit": exit }));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_leaves_no_memory_and_doubles_no_order() {
    let mut site = ProcessSite::start(3, "").await;
    // One killed daemon is entry host of its requests and owner of its endpoints.
    let load = site.load(REQUESTS, RATE);
    site.generating().await;
    let mut killed = site.take(0);
    killed.process.signal(Signal::KILL);
    let exit = killed.process.ended().await;
    let seen = load.await.unwrap();
    let verdict = site.judge(&seen).await;
    let mut again = Vec::new();
    let cut = seen.iter().filter(|one| one.end != Ending::Answered);
    for key in cut.filter_map(|one| one.key.as_deref()) {
        let before = runs(&site, key).await;
        let item = items(REQUESTS, RATE);
        let item = item.iter().find(|item| item.key() == Some(key)).unwrap();
        let end = retry(&site, item).await;
        let after = runs(&site, key).await;
        again.push(after <= 1 && (before == after || end == Ending::Answered));
    }
    assert_json_snapshot!(
        "process_killed_daemon",
        json!({
            "exit": exit,
            "lost": verdict.lost,
            "wrong": verdict.wrong,
            "ran_twice": verdict.ran_twice,
            "answered_twice": verdict.answered_twice,
            "ran_unsaid": verdict.ran_unsaid,
            "memory_held_after": verdict.memory_held_after,
            "dishonest_retries": again.iter().filter(|honest| !**honest).count(),
        })
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_of_a_killed_daemon_is_freed() {
    let mut site = ProcessSite::start(3, "").await;
    // Without a cancel the answers would hold memory for ten minutes.
    let stall = json!({"faults": [{"kind": "stall-tokens", "chance": 1.0, "ms": 600_000}]});
    for engine in &site.engines {
        site.control_at(engine, stall.clone()).await;
    }
    for number in 0..6 {
        let caller = Caller::new(site.client.clone(), LIMIT);
        let address = site.daemons[0].address("callers");
        let branch = Site::branch_key(PROFILE.branches()[0]);
        tokio::spawn(async move { caller.send(&address, &branch, "", &summary(number)).await });
    }
    let own = format!("{:016x}-", name_hash("entry-1"));
    until("the daemon's requests hold memory", async || {
        holds(&site, &own).await
    })
    .await;
    let mut killed = site.take(0);
    killed.process.signal(Signal::KILL);
    let start = Instant::now();
    let exit = killed.process.ended().await;
    site.memory_free().await;
    eprintln!("memory was free {:?} after the kill", start.elapsed());
    let held = holds(&site, &own).await;
    assert_json_snapshot!("process_killed_memory", json!({"exit": exit, "held": held}));
}

/// Whether an engine holds memory for an attempt whose identity starts with `host`.
async fn holds(site: &ProcessSite, host: &str) -> bool {
    let seen = site.engines_seen().await;
    let mut held = seen.iter().flat_map(|engine| &engine.held);
    held.any(|attempt| attempt.starts_with(host))
}

/// Sends the request of a lost answer again.
async fn retry(site: &ProcessSite, item: &LoadItem) -> Ending {
    let caller = Caller::new(site.client.clone(), LIMIT);
    let address = site.daemons[0].address("callers");
    let branch = Site::branch_key(&item.branch);
    caller.send(&address, &branch, "", item).await.end
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_daemon_doubles_no_order() {
    let site = ProcessSite::start(2, "").await;
    let slow = json!({"faults": [{"kind": "slow", "chance": 1.0, "ms": 10_000}]});
    site.control_at(&site.services[0], slow).await;
    let client = site.client.clone();
    let address = site.daemons[0].address("callers");
    let first = tokio::spawn(async move {
        let branch = Site::branch_key(PROFILE.branches()[0]);
        let caller = Caller::new(client, LIMIT);
        caller.send(&address, &branch, "", &order("paused")).await
    });
    until("the order runs", async || runs(&site, "paused").await == 1).await;
    site.daemons[0].process.signal(Signal::STOP);
    until("the paused daemon is not counted", async || {
        let seen = send_order(&site, 1, "paused").await;
        matches!(&seen.end, Ending::Refused(refused) if refused.reason == "outcome-unknown")
    })
    .await;
    site.daemons[0].process.signal(Signal::CONT);
    let first = first.await.unwrap();
    until("the answer is recorded", async || {
        send_order(&site, 1, "paused").await.end == Ending::Answered
    })
    .await;
    let again = send_order(&site, 1, "paused").await;
    assert_json_snapshot!(
        "process_paused_daemon",
        json!({
            "first": first.end,
            "again": again.end,
            "replayed": again.replayed,
            "runs": runs(&site, "paused").await,
        })
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_platform_stops_no_summary() {
    let mut site = ProcessSite::start(2, "limits: {request_time: 10s}\n").await;
    site.control(json!({"outage": "error"})).await;
    until("the outage is seen", async || {
        site.status(0).await.is_some_and(|status| !status.store)
    })
    .await;
    let load = site.load(30, 15.0).await.unwrap();
    let summaries = load.iter().filter(|one| one.key.is_none());
    let refused = summaries.filter(|one| one.end != Ending::Answered).count();
    let unclaimed = load.iter().filter(|one| one.key.is_some());
    let ran = unclaimed.filter(|one| one.end == Ending::Answered).count();
    let verdict = site.judge(&load).await;
    let revision = site.status(0).await.unwrap().revision;
    site.control(json!({"outage": "none"})).await;
    until("orders run again", async || {
        send_order(&site, 0, "after-outage").await.end == Ending::Answered
    })
    .await;
    site.add_daemon().await;
    site.ready().await;
    assert_json_snapshot!(
        "process_outage",
        json!({
            "idempotent_not_answered": refused,
            "orders_answered": ran,
            "orders_refused": verdict.refused.keys().collect::<Vec<_>>(),
            "ran_unsaid": verdict.ran_unsaid,
            "revision": revision,
        })
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_new_work_while_the_list_lags() {
    let site = ProcessSite::start(2, "").await;
    site.control(json!({"list_lag_ms": 3_600_000})).await;
    let leaving = &site.engines[2];
    site.control_at(leaving, json!({"leaving": true})).await;
    let start = Instant::now();
    until("the owner knows", async || {
        let mut leaving = 0;
        for number in 0..site.daemons.len() {
            let status = site.status(number).await.unwrap();
            leaving += status.pools.iter().map(|pool| pool.leaving).sum::<u32>();
        }
        leaving > 0
    })
    .await;
    eprintln!("known to the owner after {:?}", start.elapsed());
    let before = site.engines_seen().await[2].totals;
    let seen = site.load(40, 20.0).await.unwrap();
    let after = site.engines_seen().await[2].totals;
    assert_json_snapshot!(
        "process_leaving_endpoint",
        json!({
            "load": planned(&site, &seen).await,
            "asked": after.runs + after.refused - before.runs - before.refused,
        })
    );
}
