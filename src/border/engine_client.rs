use {
    super::{
        endpoint_response::{call_error, read_json, refusal_error},
        endpoint_wire::{CancelRequest, CompletionRequest, KvTransferParams, PrefillReply},
        engine_tokens::EngineTokens,
    },
    crate::{
        decide::ChunkCheck,
        key::AttemptId,
        port::{
            CacheEvents, DecodeRequest, Description, Engine, EngineError, KvHandle, LoadReport,
            Order, PrefillRequest,
        },
    },
    prometheus_client::metrics::counter::Counter,
    reqwest::{Client, RequestBuilder, Response, StatusCode},
};

/// HTTP client of model engines, for the protocol in docs/ENDPOINTS.md.
///
/// Only connecting has a time-out here. To limit a call, drop its future.
#[derive(Clone, Debug)]
pub struct EngineClient {
    client: Client,
    stray: Counter,
}

impl EngineClient {
    /// Creates a client that uses `client` for all connections and counts in `stray` the chunks
    /// that are dropped as repeated, late or of another attempt.
    pub fn new(client: Client, stray: Counter) -> Self {
        Self { client, stray }
    }

    fn get(&self, address: &str, path: &str) -> RequestBuilder {
        self.client.get(format!("http://{address}{path}"))
    }

    fn post(&self, address: &str, path: &str) -> RequestBuilder {
        self.client.post(format!("http://{address}{path}"))
    }

    /// Opens the token stream of `attempt` from token `index` on.
    async fn stream(
        &self,
        call: RequestBuilder,
        attempt: AttemptId,
        index: u32,
    ) -> Result<EngineTokens, EngineError> {
        let response = send(call).await?;
        let check = ChunkCheck::new(attempt, index);
        Ok(EngineTokens::new(response, check, self.stray.clone()))
    }
}

impl Engine for EngineClient {
    type Tokens = EngineTokens;

    async fn prefill(
        &self,
        address: &str,
        request: &PrefillRequest,
    ) -> Result<KvHandle, EngineError> {
        let body = prefill_body(request);
        let response = send(self.post(address, "/v1/completions").json(&body)).await?;
        let reply = read_json::<PrefillReply>(response).await?;
        if reply.id != body.attempt {
            let text = format!(
                "the prefill response is for attempt {} instead of {}",
                reply.id, body.attempt
            );
            return Err(EngineError::Broken(text));
        }
        kv_handle(reply.kv_transfer_params)
    }

    async fn decode(
        &self,
        address: &str,
        request: &DecodeRequest,
    ) -> Result<EngineTokens, EngineError> {
        let call = self
            .post(address, "/v1/completions")
            .json(&decode_body(request));
        self.stream(call, request.attempt, 0).await
    }

    async fn resume(
        &self,
        address: &str,
        attempt: AttemptId,
        index: u32,
    ) -> Result<EngineTokens, EngineError> {
        let path = format!("/v1/completions/{attempt}?from={index}");
        let call = self.get(address, &path);
        self.stream(call, attempt, index).await
    }

    async fn cancel(&self, address: &str, attempt: AttemptId) -> Result<(), EngineError> {
        let body = CancelRequest {
            attempt: attempt.to_string(),
        };
        let response = send(self.post(address, "/v1/cancel").json(&body)).await?;
        if response.status() == StatusCode::NO_CONTENT {
            return Ok(());
        }
        let text = format!(
            "cancel returned status {} instead of 204",
            response.status()
        );
        Err(EngineError::Broken(text))
    }

    async fn describe(&self, address: &str) -> Result<Description, EngineError> {
        read_json(send(self.get(address, "/v1/describe")).await?).await
    }

    async fn load(&self, address: &str) -> Result<LoadReport, EngineError> {
        read_json(send(self.get(address, "/v1/load")).await?).await
    }

    async fn events(&self, address: &str, after: u64) -> Result<CacheEvents, EngineError> {
        let path = format!("/v1/events?after={after}");
        read_json(send(self.get(address, &path)).await?).await
    }

    async fn order(&self, address: &str, order: &Order) -> Result<Description, EngineError> {
        read_json(send(self.post(address, "/v1/orders").json(order)).await?).await
    }
}

/// Sends a call; fails if no response arrives or its status is not 2xx.
async fn send(call: RequestBuilder) -> Result<Response, EngineError> {
    let response = call.send().await.map_err(call_error)?;
    if response.status().is_success() {
        return Ok(response);
    }
    Err(refusal_error(response).await)
}

fn prefill_body(request: &PrefillRequest) -> CompletionRequest {
    CompletionRequest {
        adapter: request.adapter.clone(),
        attempt: request.attempt.to_string(),
        kv_transfer_params: Some(KvTransferParams {
            cached_tokens: None,
            do_remote_decode: true,
            do_remote_prefill: false,
            expires_ms: None,
            remote_address: None,
            remote_handle: None,
            remote_tokens: None,
        }),
        max_tokens: 0,
        model: request.model.clone(),
        priority: request.priority,
        prompt: request.prompt.clone(),
        stream: false,
    }
}

fn decode_body(request: &DecodeRequest) -> CompletionRequest {
    CompletionRequest {
        adapter: request.adapter.clone(),
        attempt: request.attempt.to_string(),
        kv_transfer_params: request.import.as_ref().map(import_params),
        max_tokens: request.max_tokens,
        model: request.model.clone(),
        priority: request.priority,
        prompt: request.prompt.clone(),
        stream: true,
    }
}

/// Parameters that make a decode engine import the KV cache `handle`.
fn import_params(handle: &KvHandle) -> KvTransferParams {
    KvTransferParams {
        cached_tokens: Some(handle.cached),
        do_remote_decode: false,
        do_remote_prefill: true,
        expires_ms: Some(handle.expires_ms),
        remote_address: Some(handle.address.clone()),
        remote_handle: Some(handle.handle.clone()),
        remote_tokens: Some(handle.tokens),
    }
}

/// Reads the handle of the KV cache from a prefill response.
fn kv_handle(params: KvTransferParams) -> Result<KvHandle, EngineError> {
    let missing = |field: &str| EngineError::Broken(format!("the prefill response has no {field}"));
    Ok(KvHandle {
        address: params
            .remote_address
            .ok_or_else(|| missing("remote_address"))?,
        handle: params
            .remote_handle
            .ok_or_else(|| missing("remote_handle"))?,
        tokens: params
            .remote_tokens
            .ok_or_else(|| missing("remote_tokens"))?,
        cached: params.cached_tokens.unwrap_or_default(),
        expires_ms: params.expires_ms.unwrap_or_default(),
    })
}
