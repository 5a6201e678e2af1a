//! The port of a stand-in that is down goes to nobody else.
//!
//! Sites that were emulated at once took each other's ports, and then got each other's calls: runs of
//! one site were counted at another one, as if a request had run twice.

use {
    lentillead::fake::{
        EngineControl, EngineSettings, FakeEngine, FakePlatform, Outage, PlatformControl,
        PlatformSettings,
    },
    std::{
        io::ErrorKind,
        net::{SocketAddr, TcpListener, TcpStream},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        time::sleep,
    },
};

/// Waits until connections to `address` are refused.
async fn wait_down(address: SocketAddr) {
    while TcpStream::connect(address).is_ok() {
        sleep(Duration::from_millis(5)).await;
    }
}

fn assert_taken(address: SocketAddr) {
    let other = TcpListener::bind(address).map_err(|e| e.kind());
    assert_eq!(other.err(), Some(ErrorKind::AddrInUse));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dead_engine_keeps_its_port() {
    let settings = EngineSettings {
        down_ms: 60_000,
        ..EngineSettings::default()
    };
    let engine = FakeEngine::start(settings).await.unwrap();
    engine.control(&EngineControl {
        die: true,
        ..EngineControl::default()
    });
    wait_down(engine.address()).await;
    assert_taken(engine.address());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_refuses_connections_keeps_its_port_and_opens_again() {
    let platform = FakePlatform::start(PlatformSettings::default())
        .await
        .unwrap();
    // The server runs from its first response on.
    let mut stream = tokio::net::TcpStream::connect(platform.address())
        .await
        .unwrap();
    stream.write_all(b"GET / HTTP/1.0\r\n\r\n").await.unwrap();
    assert!(stream.read(&mut [0; 16]).await.unwrap() > 0);
    let outage = |outage| {
        platform.control(PlatformControl {
            outage: Some(outage),
            ..PlatformControl::default()
        });
    };
    outage(Outage::Refuse);
    wait_down(platform.address()).await;
    assert_taken(platform.address());
    outage(Outage::None);
    while TcpStream::connect(platform.address()).is_err() {
        sleep(Duration::from_millis(5)).await;
    }
}
