//! Complete daemons in an emulated site, connected over loopback.

use {
    lentillead::{
        emulator::{Profile, Site, SiteOptions, Workload, run_load},
        fake::Outage,
    },
    std::{sync::Arc, time::Duration},
};

/// Time scale of the emulated engines and services.
const SCALE: f64 = 0.05;

/// A daemon that starts during a platform outage has no host list: it must get the members and the
/// sheet from the daemons named in its settings.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_started_in_an_outage_gets_state_from_peers() {
    let options = SiteOptions {
        scale: SCALE,
        ..SiteOptions::new(Profile::Kovacsreti)
    };
    let mut site = Site::start(options).await.unwrap();
    site.platform.set_outage(Outage::Error);
    site.add_daemon().await.unwrap();
    let daemon = site.daemons.last().unwrap().as_ref().unwrap();
    let mut sheet = daemon.board().sheet.clone();
    let mut members = daemon.board().members.clone();
    while sheet.load().revision == 0 {
        assert!(sheet.changed().await);
    }
    while members.load().hosts.len() < site.daemons.len() {
        assert!(members.changed().await);
    }
    let hosts = daemon.board().hosts.load().daemons.len();
    insta::assert_debug_snapshot!("outage_start", (sheet.load().revision, hosts));
    site.platform.set_outage(Outage::None);
    tokio::time::timeout(Duration::from_mins(1), site.wait_ready())
        .await
        .unwrap()
        .unwrap();
}

/// A planned stop must finish despite idle connections, owned endpoints, peers that have already
/// stopped, or no peer at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes() {
    let options = SiteOptions {
        scale: SCALE,
        ..SiteOptions::new(Profile::Kovacsreti)
    };
    let mut site = Site::start(options).await.unwrap();
    let load = Workload {
        profile: Profile::Kovacsreti,
        seed: 1,
        requests: 20,
        rate: 100.0,
        disconnect_ratio: 0.0,
    };
    let report = run_load(&site, load, Arc::default()).await;
    let idle = reqwest::Client::new();
    for address in site.addresses() {
        let url = format!("http://{address}/v1/completions");
        idle.get(url).send().await.unwrap().bytes().await.unwrap();
    }
    let mut ended = Vec::new();
    let lone = Site::start(SiteOptions {
        daemons: 1,
        ..options
    })
    .await
    .unwrap();
    site.daemons.extend(lone.daemons);
    for daemon in &mut site.daemons {
        ended.push(daemon.take().unwrap().stop().await);
    }
    // Shown where the test fails.
    eprintln!("{:?}", report.verdict);
    insta::assert_debug_snapshot!("stop_ends", (report.verdict.answered, ended));
}

/// A daemon without a sheet must not refuse a kind as unknown, since another daemon may have a
/// sheet that lists it.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_a_sheet_does_not_report_an_unknown_kind() {
    let options = SiteOptions {
        scale: SCALE,
        ..SiteOptions::new(Profile::Kovacsreti)
    };
    let site = Site::start(SiteOptions {
        daemons: 0,
        ..options
    })
    .await;
    let mut site = site.unwrap();
    site.platform.set_outage(Outage::Error);
    site.add_daemon().await.unwrap();
    let url = format!("http://{}/v1/completions", site.addresses()[0]);
    let request = reqwest::Client::new()
        .post(url)
        .bearer_auth(Site::branch_key("kovacsret"));
    let body = r#"{"model":"price-summary","prompt":"a"}"#;
    let response = request.body(body).send().await.unwrap();
    let seen = (response.status().as_u16(), response.text().await.unwrap());
    insta::assert_debug_snapshot!("no_sheet", seen);
}
