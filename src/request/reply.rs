use bytes::Bytes;

/// Complete response to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
    /// Whether the response is that of an earlier request with the same idempotency key.
    pub replayed: bool,
}

impl Reply {
    /// Returns the value of the header `name`, in any case; `None` if there is none.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}
