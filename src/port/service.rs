use {super::EngineError, bytes::Bytes};

/// Plain services, addressed by `ip:port`.
pub trait Service: Clone + Send + Sync + 'static {
    /// Sends a call and reads the whole answer.
    fn call(
        &self,
        address: &str,
        call: &ServiceCall,
    ) -> impl Future<Output = Result<ServiceReply, EngineError>> + Send;
}

/// A call to a plain service, kept as the caller sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Header names and values without hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Header names and values without hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}
