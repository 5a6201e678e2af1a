//! Crowds at our own listener for callers of a daemon whose host has little memory.

use {
    super::{
        crowd::{Sending, alone, ordinary, settle},
        http2_senders::Http2Senders,
        process::Process,
        process_site::{PROFILE, ProcessSite},
        slow_senders::SlowSenders,
        small_host::{self, BODY_BYTES, DESCRIPTORS, MEMORY_MB, ProcessPeak, mostly, requests},
    },
    lentillead::emulator::Site,
    std::net::SocketAddr,
};

/// Limits of the daemon: `MEMORY_MB`, `BODY_BYTES`, and half of `DESCRIPTORS` for callers. No time limit
/// ends the crowd's requests during the test.
const LIMITS: &str = "limits: {memory_mb: 64, body_bytes: 4194304, connections: 400, \
    header_time: 120s, body_time: 120s}\n";

/// A daemon on a small host, and what its callers send.
struct Serving {
    site: ProcessSite,
    address: SocketAddr,
    key: String,
}

impl Serving {
    async fn start() -> Self {
        assert!(LIMITS.contains(&format!("memory_mb: {MEMORY_MB}, body_bytes: {BODY_BYTES}")));
        assert!(LIMITS.contains(&format!("connections: {}", DESCRIPTORS / 2)));
        let site = ProcessSite::start(1, LIMITS).await;
        let address = site.daemons[0].address("callers").parse().unwrap();
        Self {
            site,
            address,
            key: Site::branch_key(PROFILE.branches()[0]),
        }
    }

    /// Returns the start of a head, up to the headers of the body.
    fn head(&self, path: &str) -> String {
        format!(
            "POST /v1/services/stock/{path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n",
            self.key
        )
    }

    /// Returns an ordinary request.
    fn ordinary(&self) -> String {
        format!(
            "{}Connection: close\r\nContent-Length: 5\r\n\r\nhello",
            self.head("one")
        )
    }

    /// Returns the address of another listener.
    fn other(&self, listener: &str) -> SocketAddr {
        self.site.daemons[0].address(listener).parse().unwrap()
    }

    fn process(&mut self) -> &mut Process {
        &mut self.site.daemons[0].process
    }
}

/// Has a daemon serve a crowd, and then an ordinary request beside it.
async fn face(kinds: &[Sending]) {
    let _alone = alone().await;
    let mut serving = Serving::start().await;
    let (address, head) = (serving.address, serving.head("crowd"));
    let crowds = [(address, requests(&head, kinds))];
    let request = serving.ordinary();
    let ask = async || ordinary(address, &request).await;
    small_host::face(serving.process(), &crowds, ask).await;
}

/// Large bodies that were received and not read must count.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_large_bodies_sent_whole() {
    face(&mostly(Sending::Whole)).await;
}

/// Bodies that arrive piece by piece must count like those that arrive at once.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_large_bodies_sent_piece_by_piece() {
    face(&mostly(Sending::Pieces)).await;
}

/// Bodies without an announced length must count while they arrive.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_bodies_in_large_chunks() {
    face(&mostly(Sending::LargeChunks)).await;
}

/// Small chunks must count with what they cost beyond their content.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_bodies_in_small_chunks() {
    face(&mostly(Sending::SmallChunks)).await;
}

/// What a caller goes on sending after the refusal of its body must not be kept.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_bodies_announced_over_the_limit() {
    face(&mostly(Sending::Announced)).await;
}

/// What a caller sends beyond the limit must not be kept.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_bodies_sent_over_the_limit() {
    face(&mostly(Sending::Endless)).await;
}

/// Heads must count beside the bodies that follow them.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_large_heads() {
    face(&mostly(Sending::LargeHead)).await;
}

/// Trailers must not be kept without a limit.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_trailers_without_end() {
    face(&mostly(Sending::Trailers)).await;
}

/// Requests whose responses nobody reads must not be kept without a limit.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_requests_in_a_row() {
    face(&mostly(Sending::Row)).await;
}

/// A body within the limits must be served while nothing else is held.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_serves_the_longest_body_in_calm() {
    let _alone = alone().await;
    let serving = Serving::start().await;
    for kind in [Sending::Complete, Sending::Chunked] {
        let head = format!("{}Connection: close\r\n", serving.head("one"));
        let request = kind.request(&head, BODY_BYTES);
        assert_eq!(ordinary(serving.address, &request).await, "HTTP/1.1 200 OK");
    }
}

/// The listeners for operators and other daemons must not be a way around the limits.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_crowds_at_its_other_listeners() {
    let _alone = alone().await;
    let mut serving = Serving::start().await;
    let (address, request) = (serving.address, serving.ordinary());
    let ask = async || ordinary(address, &request).await;
    let kinds = [Sending::Nothing, Sending::HalfHead, Sending::Nothing];
    let head = serving.head("crowd");
    let others = ["operators", "peers"].map(|listener| serving.other(listener));
    let crowds = others.map(|other| (other, requests(&head, &kinds)));
    small_host::face(serving.process(), &crowds, ask).await;
}

/// Callers that send slowly must not keep all connections from others.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_serves_beside_slow_senders() {
    let _alone = alone().await;
    let mut serving = Serving::start().await;
    let (address, request) = (serving.address, serving.ordinary());
    let peak = ProcessPeak::start(serving.process(), &[address]);
    let slow = SlowSenders::start(address, &serving.head("crowd")).await;
    let answer = ordinary(address, &request).await;
    drop(slow);
    peak.assert_within_host(serving.process(), &answer);
}

/// What an HTTP/2 connection may send ahead must count for each connection.
#[tokio::test(flavor = "multi_thread")]
async fn small_host_survives_unfinished_bodies_over_http2() {
    let _alone = alone().await;
    let mut serving = Serving::start().await;
    let (address, request) = (serving.address, serving.ordinary());
    let peak = ProcessPeak::start(serving.process(), &[address]);
    let senders = Http2Senders::start(address, &serving.key).await;
    settle(serving.process()).await;
    let answer = ordinary(address, &request).await;
    drop(senders);
    peak.assert_within_host(serving.process(), &answer);
}
