//! Guards against a keyed call that runs more than once: each key is sent to every daemon at the
//! same time while the platform loses responses.

use {
    crate::fault_failures::{ending, order, send},
    insta::assert_yaml_snapshot,
    lentillead::{
        emulator::{Profile, Site, SiteOptions},
        fake::PlatformControl,
    },
    std::time::Duration,
};

const DAEMONS: usize = 6;
const KEYS: usize = 1_000;
/// Number of keys sent at the same time.
const BATCH_KEYS: usize = 50;

#[tokio::test(flavor = "multi_thread")]
async fn each_order_runs_once() {
    let options = SiteOptions {
        daemons: DAEMONS,
        request_time: Duration::from_secs(30),
        ..SiteOptions::fast(Profile::Kovacsreti)
    };
    let site = Site::start(options).await.unwrap();
    site.platform.control(PlatformControl {
        lose_share: Some(0.2),
        ..PlatformControl::default()
    });
    let (mut unexpected, mut doubled) = (Vec::new(), 0);
    for batch in 0..KEYS / BATCH_KEYS {
        let keys = batch * BATCH_KEYS..(batch + 1) * BATCH_KEYS;
        let sent = keys.flat_map(|key| (0..DAEMONS).map(move |daemon| (key, daemon)));
        let sent: Vec<_> = sent
            .map(|(key, daemon)| (key, send(&site, daemon, &order(key))))
            .collect();
        let mut first_runs = vec![0; KEYS];
        for (key, handle) in sent {
            match ending(&handle.await.unwrap()).as_str() {
                "answered" => first_runs[key] += 1,
                "answered again" | "refused: in-progress, ran: unknown" => {}
                other => unexpected.push(other.to_owned()),
            }
        }
        doubled += first_runs.iter().filter(|count| **count > 1).count();
    }
    let seen = site.observe_services();
    let runs: Vec<_> = seen
        .iter()
        .flat_map(|service| service.runs.values())
        .map(Vec::len)
        .collect();
    let not_run = KEYS - runs.len();
    let max_runs = runs.iter().max().copied();
    unexpected.sort();
    unexpected.dedup();
    assert_yaml_snapshot!(
        "fault_orders",
        (runs.len(), not_run, max_runs, doubled, unexpected)
    );
}
