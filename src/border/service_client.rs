use {
    super::{
        MemoryCharge, ResponseMemory,
        bounded_body::charged_body,
        endpoint_response::{body_error, call_error},
        endpoint_wire::{RefusalBody, RefusalBodyRan},
        is_defined,
    },
    crate::port::{EngineError, Service, ServiceCall, ServiceResponse},
    http::{HeaderMap, HeaderName, HeaderValue, Method},
    reqwest::{Client, Request, Response, Url},
};

/// Largest body of a response of a service in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Media type of the body of a refusal.
const PROBLEM_TYPE: &str = "application/problem+json";

/// Headers that are not forwarded: those of one connection only (RFC 9110 section 7.6.1) and the
/// length of the body.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// HTTP client of plain services.
///
/// Only connecting has a time-out here. To limit a call, drop its future.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    client: Client,
    memory: ResponseMemory,
}

impl ServiceClient {
    /// Creates a client that uses `client` for all connections, and does not bound the memory of all responses
    /// together.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            memory: ResponseMemory::new(usize::MAX),
        }
    }

    /// Charges what is kept of responses to `memory`.
    #[must_use]
    pub fn memory(mut self, memory: ResponseMemory) -> Self {
        self.memory = memory;
        self
    }
}

impl Service for ServiceClient {
    async fn call(
        &self,
        address: &str,
        call: &ServiceCall,
    ) -> Result<ServiceResponse, EngineError> {
        let request = request(address, call)?;
        let response = self.client.execute(request).await.map_err(call_error)?;
        if !is_defined(response.status()) {
            let status = response.status().as_u16();
            let text = format!("the status {status} is not defined in HTTP");
            return Err(EngineError::Broken(text));
        }
        let response = read_response(response, self.memory.charge()).await?;
        match refusal_reason(&response) {
            Some(reason) => Err(EngineError::Refused(reason)),
            None => Ok(response),
        }
    }
}

/// Builds the HTTP request; fails with `EngineError::Unsent` if a part of the call is invalid.
fn request(address: &str, call: &ServiceCall) -> Result<Request, EngineError> {
    let invalid = |part: &str| EngineError::Unsent(format!("the call's {part} is invalid"));
    let method = Method::from_bytes(call.method.as_bytes()).or(Err(invalid("method")))?;
    let url = Url::parse(&format!("http://{address}{}", call.path)).or(Err(invalid("path")))?;
    let mut request = Request::new(method, url);
    *request.headers_mut() = header_map(&call.headers).ok_or_else(|| invalid("headers"))?;
    *request.body_mut() = Some(call.body.clone().into());
    Ok(request)
}

/// Converts end-to-end headers; `None` if a name or value is invalid.
fn header_map(headers: &[(String, String)]) -> Option<HeaderMap> {
    let mut map = HeaderMap::new();
    for (name, value) in headers.iter().filter(|(name, _)| is_end_to_end(name)) {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        map.append(name, HeaderValue::from_str(value).ok()?);
    }
    Some(map)
}

/// Reads the complete response, which keeps its part of `charge`; fails with `EngineError::Broken` if it breaks
/// off, is too long, or there is no memory for it.
async fn read_response(
    response: Response,
    charge: MemoryCharge,
) -> Result<ServiceResponse, EngineError> {
    let status = response.status().as_u16();
    let headers = header_list(response.headers());
    let body = charged_body(response, MAX_BODY_BYTES, charge).await;
    let body = body.map_err(body_error)?;
    Ok(ServiceResponse {
        status,
        headers,
        body,
    })
}

/// Returns the end-to-end headers whose value is visible ASCII.
fn header_list(map: &HeaderMap) -> Vec<(String, String)> {
    map.iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}

/// Returns whether a header is forwarded.
fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS
        .iter()
        .any(|listed| name.eq_ignore_ascii_case(listed))
}

/// Returns the reason of a refusal whose body states that the call did not run.
///
/// Any other response, also one with an error status, is the response of the service.
fn refusal_reason(response: &ServiceResponse) -> Option<String> {
    let is_problem = response
        .headers
        .iter()
        .any(|(name, value)| name == "content-type" && value.starts_with(PROBLEM_TYPE));
    let body = serde_json::from_slice::<RefusalBody>(&response.body).ok()?;
    (is_problem && response.status >= 400 && body.ran == RefusalBodyRan::No).then_some(body.reason)
}
