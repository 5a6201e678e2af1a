use serde_json::{Value, json};

/// A configuration of `routes` as the operator writes it, with a service `ledger` and engines `models`;
/// bodies have `body_bytes` at most.
pub fn operator_config(version: u64, routes: &[Value], body_bytes: u64) -> Value {
    json!({
        "Version": version,
        "Routes": routes,
        "Services": [
            { "Name": "ledger", "HealthCheck": "/health" },
            { "Name": "models", "Engine": { "KvCapacityTokens": 100_000, "Stride": 4 } },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": body_bytes, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    })
}
