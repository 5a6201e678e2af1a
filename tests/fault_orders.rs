//! Orders fired at all daemons at once while the platform loses answers.

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
/// Keys sent at the same time.
const WAVE: usize = 50;

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
    for wave in 0..KEYS / WAVE {
        let keys = wave * WAVE..(wave + 1) * WAVE;
        let sent = keys.flat_map(|key| (0..DAEMONS).map(move |daemon| (key, daemon)));
        let sent: Vec<_> = sent
            .map(|(key, daemon)| (key, send(&site, daemon, &order(key))))
            .collect();
        let mut fresh = vec![0; KEYS];
        for (key, one) in sent {
            match ending(&one.await.unwrap()).as_str() {
                "answered" => fresh[key] += 1,
                "answered again" | "refused: in-progress, ran: unknown" => {}
                other => unexpected.push(other.to_owned()),
            }
        }
        doubled += fresh.iter().filter(|count| **count > 1).count();
    }
    let seen = site.observe_services();
    let runs: Vec<_> = seen
        .iter()
        .flat_map(|service| service.runs.values())
        .map(Vec::len)
        .collect();
    let twice = KEYS - runs.len();
    let most = runs.iter().max().copied();
    unexpected.sort();
    unexpected.dedup();
    assert_yaml_snapshot!(
        "fault_orders",
        (runs.len(), twice, most, doubled, unexpected)
    );
}
