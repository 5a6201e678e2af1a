//! Crowds at our own listener for callers.

use {
    super::{
        crowd::{
            BODY_BYTES, CALLERS, Crowd, LIMIT, Requests, Sending, alone, assert_unharmed, ordinary,
            settle,
        },
        process_site::{PROFILE, ProcessSite},
    },
    lentillead::emulator::Site,
};

/// Limits of the daemon. The crowd of idle connections exceeds the number of connections, and no time
/// limit ends the crowd's requests during the test.
const LIMITS: &str =
    "limits: {body_bytes: 4194304, connections: 60, header_time: 120s, body_time: 120s}\n";

/// Most descriptors of the daemon.
const DESCRIPTORS: usize = 120;

/// Number of callers that hold connections.
const HOLDERS: usize = 70;

/// Has a daemon serve a crowd, and then an ordinary request beside it.
async fn face(kinds: &[Sending], callers: usize) {
    let _alone = alone().await;
    let mut site = ProcessSite::start(1, LIMITS).await;
    let address = site.daemons[0].address("callers").parse().unwrap();
    let key = Site::branch_key(PROFILE.branches()[0]);
    let head = |path: &str| {
        format!(
            "POST /v1/services/stock/{path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n"
        )
    };
    let request = format!(
        "{}Connection: close\r\nContent-Length: 5\r\n\r\nhello",
        head("one")
    );
    let requests = Requests {
        head: &head("crowd"),
        kinds,
        callers,
        body: BODY_BYTES,
        limit: LIMIT,
    };
    let crowd = Crowd::send(address, requests).await;
    settle(&site.daemons[0].process).await;
    let answer = ordinary(address, &request).await;
    assert_unharmed(&mut site.daemons[0].process, DESCRIPTORS, &answer);
    drop(crowd);
}

/// Bodies that never end must not fill the memory.
#[tokio::test(flavor = "multi_thread")]
async fn serve_survives_bodies_that_lack_their_last_byte() {
    face(&[Sending::Whole, Sending::Pieces], CALLERS).await;
}

/// Bodies without an announced length must not fill the memory.
#[tokio::test(flavor = "multi_thread")]
async fn serve_survives_chunked_bodies_without_end() {
    face(&[Sending::LargeChunks], CALLERS).await;
}

/// Small chunks must be counted with what they cost beyond their content.
#[tokio::test(flavor = "multi_thread")]
async fn serve_survives_bodies_in_small_chunks() {
    face(&[Sending::SmallChunks], CALLERS).await;
}

/// Bodies that are refused for their length must not be read up to the limit first.
#[tokio::test(flavor = "multi_thread")]
async fn serve_survives_bodies_over_the_limit() {
    face(&[Sending::Announced, Sending::Endless], CALLERS).await;
}

/// Connections without a request must not keep ordinary callers waiting.
#[tokio::test(flavor = "multi_thread")]
async fn serve_survives_connections_without_requests() {
    face(&[Sending::Nothing, Sending::HalfHead], HOLDERS).await;
}
