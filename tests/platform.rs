//! `PlatformClient` against `FakePlatform`, under each fault that the fake injects.

use {
    bytes::Bytes,
    insta::assert_yaml_snapshot,
    lentillead::{
        border::PlatformClient,
        fake::{FakePlatform, Outage, PlatformControl, PlatformSettings},
        port::{HostEntry, ObjectStore, Platform, PlatformError},
    },
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
const WAIT: Duration = Duration::from_secs(20);

async fn start() -> (FakePlatform, PlatformClient) {
    let fake = FakePlatform::start(PlatformSettings::default())
        .await
        .unwrap();
    let client = PlatformClient::new(&fake.url(), TIMEOUT).unwrap();
    (fake, client)
}

fn body(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

/// Names the kind of a result, without error texts that differ between runs.
fn kind<T>(result: &Result<T, PlatformError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(PlatformError::Conflict { .. }) => "conflict",
        Err(PlatformError::Unavailable(_)) => "unavailable",
        Err(PlatformError::Unknown(_)) => "unknown",
        Err(PlatformError::Rejected(_)) => "rejected",
        Err(PlatformError::Budget) => "budget",
    }
}

#[tokio::test]
async fn objects_have_versions_and_conditions() {
    let (fake, client) = start().await;
    let seen = vec![
        format!("{:?}", client.read("a/b c").await),
        format!("{:?}", client.create("a/b c", body("one")).await),
        format!("{:?}", client.create("a/b c", body("two")).await),
        format!("{:?}", client.update("a/b c", 1, body("three")).await),
        format!("{:?}", client.update("a/b c", 1, body("four")).await),
        format!("{:?}", client.update("a/none", 1, body("five")).await),
        format!("{:?}", client.read("a/b c").await),
        format!("{:?}", client.list("a/").await),
        format!("{:?}", client.watch("a/b c", 1, WAIT).await),
        format!("{:?}", client.watch("a/b c", 2, Duration::ZERO).await),
        format!(
            "{:?}",
            client.create("big", Bytes::from(vec![0; 1_000_001])).await
        ),
    ];
    assert_yaml_snapshot!(seen);
    assert_yaml_snapshot!("platform_calls", fake.observed());
}

#[tokio::test]
async fn watch_wakes_on_the_next_version() {
    let (_fake, client) = start().await;
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.watch("late", 0, WAIT).await }
    });
    client.create("late", body("here")).await.unwrap();
    let object = waiting.await.unwrap().unwrap().unwrap();
    assert_eq!((object.version, object.body), (1, body("here")));
}

#[tokio::test]
async fn faults_map_to_errors() {
    let (fake, client) = start().await;
    let short_client = PlatformClient::new(&fake.url(), SHORT_TIMEOUT).unwrap();
    client.create("x", body("one")).await.unwrap();
    fake.control(PlatformControl {
        lose_next: Some(1),
        ..PlatformControl::default()
    });
    let mut seen = vec![("lost", kind(&client.update("x", 1, body("two")).await))];
    let kept = client.read("x").await.unwrap().unwrap();
    assert_eq!(
        kept.version, 2,
        "the update took effect although its response was lost"
    );
    fake.control(PlatformControl {
        stale_next: Some(1),
        ..PlatformControl::default()
    });
    let stale = client.read("x").await.unwrap().unwrap();
    assert_eq!(stale.version, 1);
    for (name, outage) in [
        ("error", Outage::Error),
        ("hang", Outage::Hang),
        ("refuse", Outage::Refuse),
    ] {
        fake.set_outage(outage);
        while outage == Outage::Refuse && kind(&client.read("x").await) != "unavailable" {
            tokio::task::yield_now().await;
        }
        seen.push((
            name,
            kind(&short_client.update("x", 2, body("three")).await),
        ));
    }
    fake.set_outage(Outage::None);
    while client.read("x").await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    seen.push(("after", kind(&client.update("x", 2, body("three")).await)));
    assert_yaml_snapshot!(seen);
}

#[tokio::test]
async fn host_list_lags() {
    let host = HostEntry {
        name: "decode-1".into(),
        role: "decode".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        pool: "summaries".into(),
        leaving: false,
    };
    let settings = PlatformSettings {
        hosts: vec![host],
        ..PlatformSettings::default()
    };
    let fake = FakePlatform::start(settings).await.unwrap();
    let client = PlatformClient::new(&fake.url(), TIMEOUT).unwrap();
    fake.control(PlatformControl {
        list_lag_ms: Some(600_000),
        ..PlatformControl::default()
    });
    fake.set_leaving("decode-1");
    let lagging = client.hosts().await.unwrap();
    fake.control(PlatformControl {
        list_lag_ms: Some(0),
        ..PlatformControl::default()
    });
    let leaving = client.hosts().await.unwrap();
    fake.remove_host("decode-1");
    let removed = client.hosts().await.unwrap();
    assert_yaml_snapshot!((lagging, leaving, removed));
}
