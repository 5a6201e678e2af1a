//! Daemons as processes: planned stops, crashes, pauses, outages and draining endpoints.

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

/// Requests, and requests per second, of the load under which a daemon is killed.
const REQUESTS: u32 = 90;
const RATE: f64 = 20.0;

/// Asserts that every request was answered, as it must be while daemons stop as planned; returns
/// the verdict for the snapshot.
async fn assert_all_answered(site: &ProcessSite, seen: &[Observation]) -> Value {
    let verdict = site.judge(seen).await;
    let failed: Vec<_> = seen
        .iter()
        .filter(|one| one.end != Ending::Answered)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    json!({
        "answered": verdict.answered,
        "cut": verdict.broken + verdict.wrong + verdict.lost,
        "ran_twice": verdict.ran_twice,
        "memory_held_after": verdict.memory_held_after,
    })
}

fn order_item(key: &str) -> LoadItem {
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

fn summary_item(number: u32) -> LoadItem {
    LoadItem {
        kind: "price-summary".to_owned(),
        payload: LoadPayload::Completion {
            prompt: format!("prices of catalogue {number}"),
            max_tokens: 64,
        },
        ..order_item("")
    }
}

async fn send_order(site: &ProcessSite, daemon: usize, key: &str) -> Observation {
    let caller = Caller::new(site.client.clone(), LIMIT);
    let address = site.daemons[daemon].address("callers");
    let branch = Site::branch_key(PROFILE.branches()[0]);
    caller.send(&address, &branch, "", &order_item(key)).await
}

/// Number of runs of the idempotency key `key` at all services.
async fn count_runs(site: &ProcessSite, key: &str) -> usize {
    let seen = site.services_seen().await;
    seen.iter()
        .filter_map(|service| service.runs.get(key))
        .map(Vec::len)
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_fails_no_request() {
    let mut site = ProcessSite::start(2, "").await;
    let load = site.start_load(60, 15.0);
    site.wait_generating().await;
    let exit = site.stop_daemon(0).await;
    let seen = assert_all_answered(&site, &load.await.unwrap()).await;
    assert_json_snapshot!("process_planned_stop", json!({"exit": exit, "load": seen}));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_only_daemon_stops_as_planned() {
    let mut site = ProcessSite::start(1, "").await;
    let seen = send_order(&site, 0, "before-the-stop").await;
    let exit = site.stop_daemon(0).await;
    assert_json_snapshot!(
        "process_only_daemon",
        json!({"exit": exit, "order": seen.end})
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_is_replaced_under_load() {
    let mut site = ProcessSite::start(2, "").await;
    let load = site.start_load(120, 12.0);
    site.wait_generating().await;
    let mut exits = Vec::new();
    for _ in 0..2 {
        site.add_daemon().await;
        let newest = site.daemons.len() - 1;
        until("the new daemon is ready", async || {
            site.status(newest).await.is_some_and(|status| status.ready)
        })
        .await;
        exits.push(site.stop_daemon(0).await);
    }
    let seen = assert_all_answered(&site, &load.await.unwrap()).await;
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
        site.control_process(engine, stall.clone()).await;
    }
    let load = site.start_load(20, 100.0);
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
    let exit = site.daemons[0].process.wait_exit().await;
    load.abort();
    assert_json_snapshot!("process_second_signal", json!({ "exit": exit }));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_leaks_no_memory_and_runs_no_order_twice() {
    let mut site = ProcessSite::start(3, "").await;
    // The killed daemon is both the entry host of requests and the owner of endpoints.
    let load = site.start_load(REQUESTS, RATE);
    site.wait_generating().await;
    let mut killed = site.remove_daemon(0);
    killed.process.signal(Signal::KILL);
    let exit = killed.process.wait_exit().await;
    let seen = load.await.unwrap();
    let verdict = site.judge(&seen).await;
    let mut honest = Vec::new();
    let failed = seen.iter().filter(|one| one.end != Ending::Answered);
    for key in failed.filter_map(|one| one.key.as_deref()) {
        let before = count_runs(&site, key).await;
        let item = items(REQUESTS, RATE);
        let item = item.iter().find(|item| item.key() == Some(key)).unwrap();
        let end = retry(&site, item).await;
        let after = count_runs(&site, key).await;
        honest.push(after <= 1 && (before == after || end == Ending::Answered));
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
            "dishonest_retries": honest.iter().filter(|honest| !**honest).count(),
        })
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_of_a_killed_daemon_is_freed() {
    let mut site = ProcessSite::start(3, "").await;
    // Without a cancel, the stalled responses would hold engine memory for 10 minutes.
    let stall = json!({"faults": [{"kind": "stall-tokens", "chance": 1.0, "ms": 600_000}]});
    for engine in &site.engines {
        site.control_process(engine, stall.clone()).await;
    }
    for number in 0..6 {
        let caller = Caller::new(site.client.clone(), LIMIT);
        let address = site.daemons[0].address("callers");
        let branch = Site::branch_key(PROFILE.branches()[0]);
        tokio::spawn(async move {
            caller
                .send(&address, &branch, "", &summary_item(number))
                .await
        });
    }
    let id_prefix = format!("{:016x}-", name_hash("entry-1"));
    until("the daemon's requests hold memory", async || {
        holds_memory(&site, &id_prefix).await
    })
    .await;
    let mut killed = site.remove_daemon(0);
    killed.process.signal(Signal::KILL);
    let start = Instant::now();
    let exit = killed.process.wait_exit().await;
    site.wait_memory_free().await;
    eprintln!(
        "engine memory was free {:?} after the kill",
        start.elapsed()
    );
    let held = holds_memory(&site, &id_prefix).await;
    assert_json_snapshot!("process_killed_memory", json!({"exit": exit, "held": held}));
}

/// Whether an engine holds memory for an attempt whose id starts with `id_prefix`.
async fn holds_memory(site: &ProcessSite, id_prefix: &str) -> bool {
    let seen = site.engines_seen().await;
    let mut held = seen.iter().flat_map(|engine| &engine.held);
    held.any(|attempt| attempt.starts_with(id_prefix))
}

/// Sends a request again that was not answered and returns how it ends.
async fn retry(site: &ProcessSite, item: &LoadItem) -> Ending {
    let caller = Caller::new(site.client.clone(), LIMIT);
    let address = site.daemons[0].address("callers");
    let branch = Site::branch_key(&item.branch);
    caller.send(&address, &branch, "", item).await.end
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_daemon_runs_no_order_twice() {
    let site = ProcessSite::start(2, "").await;
    let slow = json!({"faults": [{"kind": "slow", "chance": 1.0, "ms": 10_000}]});
    site.control_process(&site.services[0], slow).await;
    let client = site.client.clone();
    let address = site.daemons[0].address("callers");
    let first = tokio::spawn(async move {
        let branch = Site::branch_key(PROFILE.branches()[0]);
        let caller = Caller::new(client, LIMIT);
        caller
            .send(&address, &branch, "", &order_item("paused"))
            .await
    });
    until("the order runs", async || {
        count_runs(&site, "paused").await == 1
    })
    .await;
    site.daemons[0].process.signal(Signal::STOP);
    until(
        "the second daemon reports the outcome of the order as unknown",
        async || {
            let seen = send_order(&site, 1, "paused").await;
            matches!(&seen.end, Ending::Refused(refused) if refused.reason == "outcome-unknown")
        },
    )
    .await;
    site.daemons[0].process.signal(Signal::CONT);
    let first = first.await.unwrap();
    until("the outcome of the order is recorded", async || {
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
            "runs": count_runs(&site, "paused").await,
        })
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_platform_fails_no_summary() {
    let mut site = ProcessSite::start(2, "limits: {request_time: 10s}\n").await;
    site.control_platform(json!({"outage": "error"})).await;
    until("the daemon notices the outage", async || {
        site.status(0).await.is_some_and(|status| !status.store)
    })
    .await;
    let load = site.start_load(30, 15.0).await.unwrap();
    let summaries = load.iter().filter(|one| one.key.is_none());
    let refused = summaries.filter(|one| one.end != Ending::Answered).count();
    let orders = load.iter().filter(|one| one.key.is_some());
    let ran = orders.filter(|one| one.end == Ending::Answered).count();
    let verdict = site.judge(&load).await;
    let revision = site.status(0).await.unwrap().revision;
    site.control_platform(json!({"outage": "none"})).await;
    until("orders run again", async || {
        send_order(&site, 0, "after-outage").await.end == Ending::Answered
    })
    .await;
    site.add_daemon().await;
    site.wait_ready().await;
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
async fn a_draining_endpoint_gets_no_new_work_while_the_list_lags() {
    let site = ProcessSite::start(2, "").await;
    site.control_platform(json!({"list_lag_ms": 3_600_000}))
        .await;
    let draining = &site.engines[2];
    site.control_process(draining, json!({"leaving": true}))
        .await;
    let start = Instant::now();
    until("the owner knows that the endpoint drains", async || {
        let mut draining = 0;
        for number in 0..site.daemons.len() {
            let status = site.status(number).await.unwrap();
            draining += status.pools.iter().map(|pool| pool.leaving).sum::<u32>();
        }
        draining > 0
    })
    .await;
    eprintln!(
        "the owner knew of the draining endpoint after {:?}",
        start.elapsed()
    );
    let before = site.engines_seen().await[2].totals;
    let seen = site.start_load(40, 20.0).await.unwrap();
    let after = site.engines_seen().await[2].totals;
    assert_json_snapshot!(
        "process_leaving_endpoint",
        json!({
            "load": assert_all_answered(&site, &seen).await,
            "asked": after.runs + after.refused - before.runs - before.refused,
        })
    );
}
