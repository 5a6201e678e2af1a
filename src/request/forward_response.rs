use {bytes::Bytes, http::HeaderMap};

/// Complete response of an endpoint, sent to the caller unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers for the caller, without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body, as the endpoint sent it.
    pub body: Bytes,
}
