use bytes::Bytes;

/// A whole answer as it goes to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Whether the answer was recorded by an earlier request with the same idempotency key.
    pub replayed: bool,
}

impl Reply {
    /// Value of a header, by lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}
