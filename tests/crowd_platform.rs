//! Crowds at the callers' listener of a daemon on the platform.

use {
    super::{
        crowd::{
            BODY_BYTES, CALLERS, Crowd, LIMIT, Requests, Sending, alone, assert_unharmed, ordinary,
            settle,
        },
        crowd_daemon::{CrowdDaemon, HEAD, ORDINARY},
    },
    serde_json::json,
};

/// Most descriptors of a daemon whose number is not limited by its test.
const DESCRIPTORS: usize = 120;

/// Descriptors of a daemon whose callers hold connections, and those of them that must stay free.
const FEW_DESCRIPTORS: u32 = 96;
const FREE_DESCRIPTORS: usize = 8;

/// Number of callers that hold connections.
const HOLDERS: usize = 90;

/// Has a daemon with `limit` descriptors serve a crowd, and then an ordinary request beside it.
async fn face(kinds: &[Sending], callers: usize, limit: Option<u32>) {
    let _alone = alone().await;
    let mut daemon = CrowdDaemon::start(json!({}), BODY_BYTES, limit).await;
    let requests = Requests {
        head: HEAD,
        kinds,
        callers,
        body: BODY_BYTES,
        limit: LIMIT,
    };
    let crowd = Crowd::send(daemon.address, requests).await;
    settle(&daemon.process).await;
    let answer = ordinary(daemon.address, ORDINARY).await;
    let bound = limit.map_or(DESCRIPTORS, |limit| limit as usize - FREE_DESCRIPTORS);
    assert_unharmed(&mut daemon.process, bound, &answer);
    drop(crowd);
}

/// Bodies that never end must not fill the memory.
#[tokio::test(flavor = "multi_thread")]
async fn platform_survives_bodies_that_lack_their_last_byte() {
    face(&[Sending::Whole, Sending::Pieces], CALLERS, None).await;
}

/// Bodies without an announced length must not fill the memory.
#[tokio::test(flavor = "multi_thread")]
async fn platform_survives_chunked_bodies_without_end() {
    face(&[Sending::LargeChunks], CALLERS, None).await;
}

/// Small chunks must be counted with what they cost beyond their content.
#[tokio::test(flavor = "multi_thread")]
async fn platform_survives_bodies_in_small_chunks() {
    face(&[Sending::SmallChunks], CALLERS, None).await;
}

/// Bodies that are refused for their length must not be read up to the limit first.
#[tokio::test(flavor = "multi_thread")]
async fn platform_survives_bodies_over_the_limit() {
    face(&[Sending::Announced, Sending::Endless], CALLERS, None).await;
}

/// Connections without a request must not use up the descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn platform_survives_connections_without_requests() {
    let kinds = [Sending::Nothing, Sending::HalfHead];
    face(&kinds, HOLDERS, Some(FEW_DESCRIPTORS)).await;
}
