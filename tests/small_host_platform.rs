//! Crowds at the callers' listener of a daemon on the platform whose host has little memory.

use {
    super::{
        crowd::{Sending, alone, ordinary},
        crowd_daemon::{CrowdDaemon, HEAD, ORDINARY},
        slow_senders::SlowSenders,
        small_host::{self, BODY_BYTES, DESCRIPTORS, MEMORY_MB, ProcessPeak, mostly, requests},
    },
    serde_json::json,
};

/// Starts a daemon on a small host.
async fn start() -> CrowdDaemon {
    let limits = json!({"memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS});
    CrowdDaemon::start(limits, BODY_BYTES, None).await
}

/// Has a daemon serve a crowd, and then an ordinary request beside it.
async fn face(kinds: &[Sending]) {
    let _alone = alone().await;
    let mut daemon = start().await;
    let address = daemon.address;
    let ask = async || ordinary(address, ORDINARY).await;
    let crowds = [(address, requests(HEAD, kinds))];
    small_host::face(&mut daemon.process, &crowds, ask).await;
}

/// Large bodies that were received and not read must count.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_survives_large_bodies_sent_whole() {
    face(&mostly(Sending::Whole)).await;
}

/// Bodies that arrive piece by piece must count like those that arrive at once.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_survives_large_bodies_sent_piece_by_piece() {
    face(&mostly(Sending::Pieces)).await;
}

/// Bodies without an announced length must count while they arrive.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_survives_bodies_in_large_chunks() {
    face(&mostly(Sending::LargeChunks)).await;
}

/// Small chunks must count with what they cost beyond their content.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_survives_bodies_in_small_chunks() {
    face(&mostly(Sending::SmallChunks)).await;
}

/// What a caller goes on sending after the refusal of its body must not be kept.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_survives_bodies_announced_over_the_limit() {
    face(&mostly(Sending::Announced)).await;
}

/// What a caller sends beyond the limit must not be kept.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_survives_bodies_sent_over_the_limit() {
    face(&mostly(Sending::Endless)).await;
}

/// Heads must count beside the bodies that follow them.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_survives_large_heads() {
    face(&mostly(Sending::LargeHead)).await;
}

/// Trailers must not be kept without a limit.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_survives_trailers_without_end() {
    face(&mostly(Sending::Trailers)).await;
}

/// Requests whose responses nobody reads must not be kept without a limit.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_survives_requests_in_a_row() {
    face(&mostly(Sending::Row)).await;
}

/// A body within the limits must be served while nothing else is held.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_serves_the_longest_body_in_calm() {
    let _alone = alone().await;
    let daemon = start().await;
    for kind in [Sending::Complete, Sending::Chunked] {
        let request = kind.request(&format!("{HEAD}Connection: close\r\n"), BODY_BYTES);
        assert_eq!(ordinary(daemon.address, &request).await, "HTTP/1.1 200 OK");
    }
}

/// The listeners for other daemons and for monitoring must not be a way around the limits.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_survives_crowds_at_its_other_listeners() {
    let _alone = alone().await;
    let mut daemon = start().await;
    let address = daemon.address;
    let ask = async || ordinary(address, ORDINARY).await;
    let kinds = [Sending::Nothing, Sending::HalfHead, Sending::Nothing];
    let crowds = daemon.others.map(|other| (other, requests(HEAD, &kinds)));
    small_host::face(&mut daemon.process, &crowds, ask).await;
}

/// Callers that send slowly must not keep all connections from others.
#[tokio::test(flavor = "multi_thread")]
async fn small_platform_host_serves_beside_slow_senders() {
    let _alone = alone().await;
    let mut daemon = start().await;
    let peak = ProcessPeak::start(&daemon.process, &[daemon.address]);
    let slow = SlowSenders::start(daemon.address, HEAD).await;
    let answer = ordinary(daemon.address, ORDINARY).await;
    drop(slow);
    peak.assert_within_host(&mut daemon.process, &answer);
}
