//! A planned stop while the platform's store is gone: it must end, and no request may be answered wrongly.

use {
    super::{
        process::{LIMIT, PAUSE},
        process_site::{PROFILE, ProcessSite, until},
    },
    insta::assert_json_snapshot,
    lentillead::emulator::Site,
    rustix::process::Signal,
    serde_json::json,
    std::time::Duration,
    tokio::{task::JoinHandle, time::sleep},
};

/// Settings whose planned stop is cut off within the time limit of the test.
const DRAIN: &str = "timing: {drain: 30s}\n";

/// Time for which the service works on an order, in milliseconds.
const SLOW_MS: u64 = 3_000;

/// Sends an order with the idempotency key `key`; returns the status and the reason of a refusal.
fn send_order(site: &ProcessSite, key: &str) -> JoinHandle<String> {
    let url = format!(
        "http://{}/v1/services/order/orders",
        site.daemons[0].address("callers")
    );
    let request = site
        .client
        .post(url)
        .bearer_auth(Site::branch_key(PROFILE.branches()[0]))
        .header("idempotency-key", key)
        .timeout(LIMIT)
        .body("{\"sacks\":2}");
    tokio::spawn(async move {
        let response = request.send().await.unwrap();
        let status = response.status().as_u16();
        let text = response.text().await.unwrap();
        let problem: Option<serde_json::Value> = serde_json::from_str(&text).ok();
        let reason = problem.and_then(|problem| Some(problem.get("reason")?.as_str()?.to_owned()));
        format!("{status} {}", reason.unwrap_or_default())
    })
}

/// Returns the number of orders that ran.
async fn count_runs(site: &ProcessSite) -> usize {
    let seen = site.services_seen().await;
    seen.iter()
        .flat_map(|service| service.runs.values())
        .map(Vec::len)
        .sum()
}

/// The end of an order that can't be recorded must not hold up the stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_ends_while_the_end_of_a_claim_cannot_be_recorded() {
    let mut site = ProcessSite::start(1, DRAIN).await;
    let slow = json!({"faults": [{"kind": "slow", "ms": SLOW_MS, "chance": 1.0}]});
    site.control_process(&site.services[0], slow).await;
    let order = send_order(&site, "running");
    until("the order runs", async || count_runs(&site).await == 1).await;
    site.platform.signal(Signal::KILL);
    site.daemons[0].process.signal(Signal::TERM);
    let order = order.await.unwrap();
    let exit = site.daemons[0].process.wait_exit().await;
    assert_json_snapshot!(
        "process_stop_unrecorded",
        json!({"exit": exit, "order": order, "runs": count_runs(&site).await})
    );
}

/// An order whose claim can't be taken must be refused as not run before the stop is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_ends_while_a_claim_cannot_be_taken() {
    let mut site = ProcessSite::start(1, DRAIN).await;
    site.platform.signal(Signal::KILL);
    sleep(PAUSE).await;
    let order = send_order(&site, "waiting");
    sleep(Duration::from_millis(500)).await;
    site.daemons[0].process.signal(Signal::TERM);
    let exit = site.daemons[0].process.wait_exit().await;
    let order = order.await.unwrap();
    assert_json_snapshot!(
        "process_stop_unclaimed",
        json!({"exit": exit, "order": order, "runs": count_runs(&site).await})
    );
}
