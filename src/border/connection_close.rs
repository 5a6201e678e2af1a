use http::{HeaderMap, HeaderValue, header::CONNECTION};

/// Value of the header that announces the end of the connection.
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Announces in the `headers` of a response that its connection is closed after it.
pub fn announce_close(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, CLOSE);
}
