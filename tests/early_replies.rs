//! Endpoints of our own API that respond before they have read a long request, and reset the connection
//! while it is still being written; and endpoints whose status is not valid.

use {
    super::engine::{decode_request, prefill_request},
    bytes::Bytes,
    insta::assert_yaml_snapshot,
    lentillead::{
        border::{EngineClient, ServiceClient, http_client},
        port::{Engine, Service, ServiceCall, TokenStream},
    },
    prometheus_client::metrics::counter::Counter,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Size of a request that no kernel takes at once, in bytes.
const LONG_BYTES: usize = 8 << 20;

/// Parts of the request that an endpoint reads before it responds.
const READ_BYTES: [usize; 3] = [1 << 10, 256 << 10, 1 << 20];

/// Pauses between the response and the reset.
const RESET_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(2),
    Duration::from_millis(20),
];

/// Tries of each case.
const TRIES: usize = 4;

/// Time within which a connection is established.
const CONNECT_TIME: Duration = Duration::from_secs(5);

/// Starts an endpoint that reads some of each request, sends `text`, and resets the connection.
async fn start_endpoint(text: String, read: usize, delay: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_early(stream, text.clone(), read, delay));
        }
    });
    address.to_string()
}

async fn respond_early(mut stream: TcpStream, text: String, read: usize, delay: Duration) {
    let _ = stream.read_exact(&mut vec![0; read]).await;
    let _ = stream.write_all(text.as_bytes()).await;
    sleep(delay).await;
    stream.set_zero_linger().unwrap();
}

fn call(bytes: usize) -> ServiceCall {
    ServiceCall {
        method: "POST".to_owned(),
        path: "/stock".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(vec![b'x'; bytes]),
    }
}

/// Returns a response without a length, with `part` of its body.
fn unsized_response(part: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n{part}")
}

/// A reset ends the response early, whichever of the two directions notices it first.
#[tokio::test(flavor = "multi_thread")]
async fn an_early_reply_that_is_reset_is_never_complete() {
    let http = http_client(CONNECT_TIME).unwrap();
    let service = ServiceClient::new(http.clone());
    let engine = EngineClient::new(http, Counter::default());
    let prompt = "x".repeat(LONG_BYTES);
    let prefill = prefill_request(1, &prompt);
    let decode = decode_request(1, &prompt, None);
    let chunk = format!(
        r#"{{"id":"{}","object":"text_completion","model":"m","choices":[{{"index":0,"text":"a","finish_reason":null}}],"token_index":0,"token_count":1}}"#,
        decode.attempt
    );
    let mut complete = BTreeMap::from([("call", 0), ("prefill", 0), ("stream", 0)]);
    for read in READ_BYTES {
        for delay in RESET_DELAYS {
            let start = |part: &str| start_endpoint(unsized_response(part), read, delay);
            let called = start("a part").await;
            let prefilled = start(&format!(r#"{{"id":"{}"}}"#, prefill.attempt)).await;
            let streamed = start(&format!("data: {chunk}\n\n")).await;
            for _ in 0..TRIES {
                let mut ends = vec![
                    (
                        "call",
                        service.call(&called, &call(LONG_BYTES)).await.is_ok(),
                    ),
                    (
                        "prefill",
                        engine.prefill(&prefilled, &prefill).await.is_ok(),
                    ),
                ];
                if let Ok(mut tokens) = engine.decode(&streamed, &decode).await {
                    let mut last = tokens.next().await;
                    while let Ok(Some(_)) = last {
                        last = tokens.next().await;
                    }
                    ends.push(("stream", last.is_ok()));
                }
                for (kind, end) in ends {
                    *complete.get_mut(kind).unwrap() += usize::from(end);
                }
            }
        }
    }
    assert_yaml_snapshot!(complete);
}

/// A status outside 100 to 599 is no response in HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn a_reply_with_an_invalid_status_is_broken() {
    let http = http_client(CONNECT_TIME).unwrap();
    let service = ServiceClient::new(http.clone());
    let engine = EngineClient::new(http, Counter::default());
    let mut seen = Vec::new();
    for status in ["000", "099", "600", "999", "20", "2000", "abc"] {
        let text = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 3\r\n\r\nodd");
        let address = start_endpoint(text, 1, Duration::from_secs(1)).await;
        let called = service.call(&address, &call(0)).await;
        let prefilled = engine.prefill(&address, &prefill_request(1, "a")).await;
        let decoded = engine.decode(&address, &decode_request(1, "a", None)).await;
        seen.push((status, called.is_ok(), prefilled.is_ok(), decoded.is_ok()));
    }
    assert_yaml_snapshot!(seen);
}
