//! Engines, services and the platform of our own API that send bodies without end: the clients give them up
//! for their length. They were collected for as long as a call might take.

use {
    bytes::Bytes,
    insta::assert_yaml_snapshot,
    lentillead::{
        border::{EngineClient, PlatformClient, ServiceClient, http_client},
        port::{Engine, ObjectStore, Platform, Service, ServiceCall},
    },
    prometheus_client::metrics::counter::Counter,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

/// Limit of a call to the platform; far longer than what is read takes.
const CALL_LIMIT: Duration = Duration::from_mins(1);

/// Starts a server that sends the head of a response with `status`, and then a body without end.
async fn endless_server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4096];
                let _ = stream.read(&mut request).await;
                let head = format!(
                    "HTTP/1.1 {status}\r\nETag: \"1\"\r\nContent-Type: application/json\r\n\r\n\""
                );
                let mut next = head.into_bytes();
                while stream.write_all(&next).await.is_ok() {
                    next = vec![b'x'; 64 << 10];
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_is_given_up_for_its_length() {
    let mut seen = Vec::new();
    for status in ["200 OK", "500 Bad"] {
        let address = endless_server(status).await.to_string();
        let http = http_client(CALL_LIMIT).unwrap();
        let engine = EngineClient::new(http.clone(), Counter::default());
        let error = engine.describe(&address).await.unwrap_err();
        seen.push((status, "engine", error.to_string()));
        let call = ServiceCall {
            method: "GET".to_owned(),
            path: "/stock".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let error = ServiceClient::new(http).call(&address, &call).await;
        seen.push((status, "service", error.unwrap_err().to_string()));
        let platform = PlatformClient::new(&address, CALL_LIMIT).unwrap();
        let error = platform.read("sheet").await.unwrap_err();
        seen.push((status, "object", error.to_string()));
        let error = platform.hosts().await.unwrap_err();
        seen.push((status, "hosts", error.to_string()));
    }
    assert_yaml_snapshot!(seen);
}
