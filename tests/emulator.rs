//! Whole daemons over loopback.

use {
    lentillead::{
        emulator::{Profile, Site, SiteOptions},
        fake::Outage,
    },
    std::time::Duration,
};

/// Speed of the stand-ins.
const SCALE: f64 = 0.05;

/// A daemon that starts in an outage of the platform has no list of hosts: it learns the members
/// and the sheet from the daemons that its settings name.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_started_in_an_outage_learns_from_peers() {
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
    let hosts = daemon.board().hosts.load().entries.len();
    insta::assert_debug_snapshot!("outage_start", (sheet.load().revision, hosts));
    site.platform.set_outage(Outage::None);
    tokio::time::timeout(Duration::from_mins(1), site.ready())
        .await
        .unwrap()
        .unwrap();
}
