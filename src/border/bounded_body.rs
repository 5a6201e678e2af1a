use {
    bytes::{Bytes, BytesMut},
    reqwest::{Error, Response},
    thiserror::Error as ThisError,
};

/// The error of reading the body of a response.
#[derive(Debug, ThisError)]
pub enum BoundedBodyError {
    /// The response broke off.
    #[error("{0}")]
    Broken(#[from] Error),
    /// The body is longer than what is read of it, perhaps without end.
    #[error("the response exceeds {0} bytes")]
    TooLong(usize),
}

/// Reads the body of `response`, of at most `limit` bytes.
///
/// Fails as soon as the body is longer or breaks off; dropping the response closes its connection.
pub async fn bounded_body(mut response: Response, limit: usize) -> Result<Bytes, BoundedBodyError> {
    let mut body = BytesMut::new();
    while let Some(data) = response.chunk().await? {
        if body.len() + data.len() > limit {
            return Err(BoundedBodyError::TooLong(limit));
        }
        body.extend_from_slice(&data);
    }
    Ok(body.freeze())
}
