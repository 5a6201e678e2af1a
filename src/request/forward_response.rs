use {bytes::Bytes, http::HeaderMap};

/// Complete response of an endpoint, sent to the caller unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers for the caller, without those of one connection.
    pub headers: HeaderMap,
    /// Complete body, as the endpoint sent it.
    pub body: Bytes,
}
