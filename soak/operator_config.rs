use serde_json::{Value, json};

/// Builds version `version` of the operator's configuration object with these `routes`, the service
/// `ledger` and the engine service `models`; request bodies may have up to `body_bytes` bytes.
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
