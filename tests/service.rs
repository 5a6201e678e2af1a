//! `ServiceClient` against `FakeService`, under each fault that the fake injects.

use {
    crate::engine::kind,
    insta::assert_yaml_snapshot,
    lentillead::{
        border::{ServiceClient, http_client},
        fake::{FakeService, Fault, FaultKind, ServiceControl, ServiceSettings},
        port::{Service, ServiceCall},
    },
    std::time::Duration,
};

/// One hour in milliseconds: a service that dies stays down for the whole test.
const NEVER_MS: u64 = 3_600_000;

fn call(key: &str) -> ServiceCall {
    ServiceCall {
        method: "PUT".into(),
        path: "/orders/7?branch=a".into(),
        headers: vec![
            ("idempotency-key".into(), key.into()),
            ("connection".into(), "close".into()),
        ],
        body: format!("order {key}").into(),
    }
}

#[tokio::test]
async fn service_faults_map_to_errors_and_are_recorded() {
    let settings = ServiceSettings::builder().latency_ms(0).down_ms(NEVER_MS);
    let fake = FakeService::start(settings.build()).await.unwrap();
    let client = http_client(Duration::from_secs(5)).unwrap();
    let (client, at) = (ServiceClient::new(client), fake.address().to_string());
    let mut seen = Vec::new();
    let faults = [
        ("whole", None),
        ("refused", Some(FaultKind::Refuse)),
        ("lost", Some(FaultKind::LoseAnswer)),
        ("dead", Some(FaultKind::Die)),
        ("down", None),
    ];
    for (key, fault) in faults {
        fake.control(&ServiceControl {
            faults: fault.map(|kind| Fault::next(kind, 1)).into_iter().collect(),
            ..ServiceControl::default()
        });
        let result = client.call(&at, &call(key)).await;
        let body = result.as_ref().map(|reply| reply.body.clone());
        let body = String::from_utf8(body.unwrap_or_default().to_vec()).unwrap();
        seen.push(format!("{key}: {} {body}", kind(&result)));
    }
    assert_yaml_snapshot!("service_faults", (seen, fake.observed()));
}
