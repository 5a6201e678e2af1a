//! Grants never exceed the memory of an endpoint, whatever the order of requests and releases.

use {
    crate::queue_bench::{QueueBench, grant_request},
    futures_util::{StreamExt, stream::FuturesUnordered},
    lentillead::{
        board::Role,
        port::{Grant, GrantEnd},
    },
    proptest::{prelude::any, prop_assert, prop_assert_eq, proptest},
    tokio::runtime::Builder,
};

/// Memory of each of the two endpoints, in pieces.
const PIECES: u32 = 8;

proptest! {
    #[test]
    fn grants_never_exceed_memory(steps in proptest::collection::vec((1_u32..7, any::<bool>()), 1..60)) {
        let runtime = Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let (max_granted, left) = runtime.block_on(run(&steps));
        prop_assert!(max_granted <= PIECES, "{max_granted} pieces of {PIECES} granted");
        prop_assert_eq!(left, 0);
    }
}

/// Requests, drops and releases grants as `steps` say: the pieces of each request, and whether the
/// oldest one ends after it. Returns the largest number of pieces granted at one endpoint at any
/// time, and the number granted at the end.
async fn run(steps: &[(u32, bool)]) -> (u32, u32) {
    let bench = QueueBench::new(2, PIECES);
    let mut tasks = Vec::new();
    let mut max_granted = 0;
    for (number, (pieces, drops)) in steps.iter().enumerate() {
        tasks.push(bench.spawn(grant_request(number as u64, Role::Decode, *pieces)));
        bench.settle().await;
        max_granted = max_granted.max(peak(&bench));
        if *drops {
            // Either the oldest request ends with its grant, or it is dropped in the queue.
            let oldest = tasks.remove(0);
            if oldest.is_finished() {
                bench.release(&oldest.await.unwrap().unwrap(), GrantEnd::Unused);
            } else {
                oldest.abort();
            }
        }
    }
    // The remaining requests end in any order.
    let mut tasks: FuturesUnordered<_> = tasks.into_iter().collect();
    while let Some(ended) = tasks.next().await {
        let grant: Grant = ended.unwrap().unwrap();
        bench.release(&grant, GrantEnd::Unused);
        bench.settle().await;
        max_granted = max_granted.max(peak(&bench));
    }
    bench.settle().await;
    (max_granted, bench.granted())
}

/// Largest number of pieces granted at one endpoint now.
fn peak(bench: &QueueBench) -> u32 {
    let fleet = bench.board.fleet.snapshot();
    let endpoints = fleet.endpoints.iter();
    let granted = endpoints.map(|(_, endpoint)| endpoint.counters.granted());
    granted.max().unwrap_or_default()
}
