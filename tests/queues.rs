//! Grants of an owner: waiting, release, cancellation, suspects, ejection and a change of owner.

use {
    crate::queue_bench::{QueueBench, attempt, grant_request, loaded},
    lentillead::{
        board::{HostState, Role},
        port::{Denial, GrantEnd, GrantQueue},
    },
    std::time::Duration,
};

#[tokio::test(start_paused = true)]
async fn waits_for_memory_and_is_granted_on_release() {
    let bench = QueueBench::new(1, 4);
    let first = bench
        .queues
        .acquire(grant_request(1, Role::Decode, 3))
        .await
        .unwrap();
    let waiting = bench.spawn(grant_request(2, Role::Decode, 3));
    bench.settle().await;
    assert!(!waiting.is_finished());
    bench.release(&first, GrantEnd::Unused);
    let second = waiting.await.unwrap().unwrap();
    assert_eq!(second.attempt, attempt(2));
    assert_eq!(bench.granted(), 3);
}

#[tokio::test(start_paused = true)]
async fn dropped_acquire_leaks_no_memory() {
    let bench = QueueBench::new(1, 4);
    let first = bench
        .queues
        .acquire(grant_request(1, Role::Decode, 4))
        .await
        .unwrap();
    let dropped = bench.spawn(grant_request(2, Role::Decode, 4));
    bench.settle().await;
    // The release is in the mailbox before the abort, so the grant races with the drop.
    bench.release(&first, GrantEnd::Unused);
    dropped.abort();
    bench.settle().await;
    assert_eq!(bench.granted(), 0);
}

#[tokio::test(start_paused = true)]
async fn late_and_unowned_requests_are_denied() {
    let bench = QueueBench::new(1, 4);
    let _held = bench
        .queues
        .acquire(grant_request(1, Role::Decode, 4))
        .await
        .unwrap();
    let mut short = grant_request(2, Role::Decode, 4);
    short.remaining = Duration::from_secs(1);
    let late = bench.queues.acquire(short).await;
    assert_eq!(late, Err(Denial::Late));
    let unowned = bench
        .queues
        .acquire(grant_request(3, Role::Service, 1))
        .await;
    assert_eq!(unowned, Err(Denial::NotOwner));
    bench.queues.drain().await;
    let stopping = bench
        .queues
        .acquire(grant_request(4, Role::Decode, 1))
        .await;
    assert_eq!(stopping, Err(Denial::Stopping));
}

#[tokio::test(start_paused = true)]
async fn broken_grant_is_cancelled_until_the_endpoint_confirms() {
    let bench = QueueBench::new(1, 4);
    let grant = bench
        .queues
        .acquire(grant_request(1, Role::Decode, 4))
        .await
        .unwrap();
    bench.engine.fail_cancels(5);
    bench.release(&grant, GrantEnd::Broken);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(bench.granted(), 4);
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert_eq!(bench.granted(), 0);
    assert_eq!(bench.engine.cancels(), 6);
}

#[tokio::test(start_paused = true)]
async fn grants_of_a_dead_entry_host_are_cancelled() {
    let mut bench = QueueBench::new(1, 4);
    let _grant = bench
        .queues
        .acquire(grant_request(1, Role::Decode, 4))
        .await
        .unwrap();
    bench.set_entry(HostState::Dead);
    bench.settle().await;
    assert_eq!(bench.granted(), 0);
    assert_eq!(bench.engine.cancels(), 1);
}

/// Requests for a version and an adapter that one of the two decode endpoints has loaded, or none.
#[tokio::test(start_paused = true)]
async fn only_an_endpoint_with_the_version_and_adapter_is_granted() {
    let mut bench = QueueBench::new(2, 8);
    let mut second = loaded("2");
    second.adapters.insert("welsh".to_owned());
    bench.set_loaded(1, second);
    let mut seen = Vec::new();
    let cases = [
        ("1", None),
        ("2", None),
        ("2", Some("welsh")),
        ("1", Some("welsh")),
        ("3", None),
    ];
    for (sequence, (version, adapter)) in (1..).zip(cases) {
        let mut request = grant_request(sequence, Role::Decode, 1);
        request.version = version.to_owned();
        request.adapter = adapter.map(str::to_owned);
        let granted = bench
            .queues
            .acquire(request)
            .await
            .map(|grant| grant.endpoint);
        seen.push((version, adapter, granted));
    }
    // A waiting request is denied when its version is unloaded.
    let mut last = grant_request(9, Role::Decode, 8);
    last.version = "2".to_owned();
    let waiting = bench.spawn(last);
    bench.settle().await;
    bench.set_loaded(1, loaded("1"));
    let unloaded = waiting.await.unwrap().map(|grant| grant.endpoint);
    seen.push(("2", None, unloaded));
    insta::assert_debug_snapshot!("queues_loaded", seen);
}

/// An endpoint runs at most one crash suspect at a time, and other requests beside it.
#[tokio::test(start_paused = true)]
async fn an_endpoint_runs_one_suspect_at_a_time() {
    let bench = QueueBench::new(2, 8);
    let suspect = |sequence| {
        let mut request = grant_request(sequence, Role::Decode, 1);
        request.suspect = true;
        request
    };
    let first = bench.queues.acquire(suspect(1)).await.unwrap();
    let second = bench.queues.acquire(suspect(2)).await.unwrap();
    assert_ne!(first.endpoint, second.endpoint);
    let third = bench.spawn(suspect(3));
    let _beside = bench
        .queues
        .acquire(grant_request(4, Role::Decode, 1))
        .await
        .unwrap();
    bench.settle().await;
    assert!(!third.is_finished());
    bench.release(&second, GrantEnd::Unused);
    let third = third.await.unwrap().unwrap();
    assert_eq!(third.endpoint, second.endpoint);
}

#[tokio::test(start_paused = true)]
async fn draining_endpoint_gets_no_grant() {
    let mut bench = QueueBench::new(1, 4);
    let waiting = bench
        .queues
        .acquire(grant_request(1, Role::Decode, 4))
        .await
        .unwrap();
    let second = bench.spawn(grant_request(2, Role::Decode, 1));
    bench.set_draining(0);
    assert_eq!(second.await.unwrap(), Err(Denial::NotOwner));
    bench.release(&waiting, GrantEnd::Unused);
    bench.settle().await;
    assert_eq!(bench.granted(), 0);
}

#[tokio::test(start_paused = true)]
async fn memory_granted_by_the_previous_owner_stays_counted() {
    let bench = QueueBench::new(1, 4);
    bench.engine.set_load(3, &[attempt(1)], 1);
    bench.follow_load();
    let small = bench
        .queues
        .acquire(grant_request(2, Role::Decode, 1))
        .await
        .unwrap();
    let large = bench.spawn(grant_request(3, Role::Decode, 3));
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(!large.is_finished());
    bench.engine.set_load(0, &[], 1);
    // The memory is free because the endpoint no longer lists the attempt.
    large.await.unwrap().unwrap();
    bench.release(&small, GrantEnd::Unused);
}

#[tokio::test(start_paused = true)]
async fn attempt_without_a_grant_is_cancelled_after_the_grace_period() {
    let bench = QueueBench::new(1, 4);
    bench.follow_load();
    tokio::time::sleep(Duration::from_secs(20)).await;
    bench.engine.set_load(3, &[attempt(1)], 1);
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(bench.engine.cancels(), 0);
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert!(bench.engine.cancels() > 0);
}

#[tokio::test(start_paused = true)]
async fn restart_of_an_endpoint_frees_its_grants() {
    let bench = QueueBench::new(1, 4);
    bench.engine.set_load(0, &[], 1);
    bench.follow_load();
    let _grant = bench
        .queues
        .acquire(grant_request(1, Role::Decode, 4))
        .await
        .unwrap();
    bench.engine.set_load(0, &[], 2);
    let second = bench
        .queues
        .acquire(grant_request(2, Role::Decode, 4))
        .await
        .unwrap();
    assert_eq!(second.attempt, attempt(2));
}

#[tokio::test(start_paused = true)]
async fn failing_endpoint_is_ejected_and_probed() {
    let bench = QueueBench::new(2, 4);
    let mut ends = Vec::new();
    for number in 0..40 {
        let grant = bench
            .queues
            .acquire(grant_request(number, Role::Decode, 1))
            .await
            .unwrap();
        let failing = grant.endpoint == "decode-0" && number < 30;
        let end = if failing {
            GrantEnd::Broken
        } else {
            let took = Duration::from_secs(1);
            GrantEnd::Finished { took, tokens: 50 }
        };
        bench.release(&grant, end);
        ends.push(format!(
            "{} {}",
            grant.endpoint,
            if failing { "broken" } else { "finished" }
        ));
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    insta::assert_yaml_snapshot!("queues_ejection", ends);
}
