use {bytes::Bytes, http::HeaderMap};

/// A whole answer of an endpoint, to be passed on unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardAnswer {
    /// Status code.
    pub status: u16,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}
