//! Grants never exceed the memory of an endpoint, whatever the order of asks and releases.

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

/// Pieces of each of the two endpoints.
const PIECES: u32 = 8;

proptest! {
    #[test]
    fn grants_never_exceed_memory(steps in proptest::collection::vec((1_u32..7, any::<bool>()), 1..60)) {
        let runtime = Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let (most, left) = runtime.block_on(run(&steps));
        prop_assert!(most <= PIECES, "{most} pieces of {PIECES} granted");
        prop_assert_eq!(left, 0);
    }
}

/// Asks, drops and releases; returns the most pieces granted at one endpoint, and those at the end.
async fn run(steps: &[(u32, bool)]) -> (u32, u32) {
    let bench = QueueBench::new(2, PIECES);
    let mut tasks = Vec::new();
    let mut most = 0;
    for (number, (pieces, drops)) in steps.iter().enumerate() {
        tasks.push(bench.spawn(grant_request(number as u64, Role::Decode, *pieces)));
        bench.settle().await;
        most = most.max(peak(&bench));
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
    // The ones that hold a place end in any order.
    let mut tasks: FuturesUnordered<_> = tasks.into_iter().collect();
    while let Some(ended) = tasks.next().await {
        let grant: Grant = ended.unwrap().unwrap();
        bench.release(&grant, GrantEnd::Unused);
        bench.settle().await;
        most = most.max(peak(&bench));
    }
    bench.settle().await;
    (most, bench.granted())
}

/// Pieces granted at the fuller endpoint.
fn peak(bench: &QueueBench) -> u32 {
    let fleet = bench.board.fleet.snapshot();
    let endpoints = fleet.endpoints.iter();
    let granted = endpoints.map(|(_, endpoint)| endpoint.counters.granted());
    granted.max().unwrap_or_default()
}
