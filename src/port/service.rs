use {super::EngineError, bytes::Bytes};

/// Client of plain services, which are addressed by `ip:port`.
pub trait Service: Clone + Send + Sync + 'static {
    /// Sends a call and reads the complete response.
    fn call(
        &self,
        address: &str,
        call: &ServiceCall,
    ) -> impl Future<Output = Result<ServiceResponse, EngineError>> + Send;
}

/// A call to a plain service, as the caller sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header names and values without hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// Body of the call.
    pub body: Bytes,
}

/// Response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values without hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// Body of the response.
    pub body: Bytes,
}
