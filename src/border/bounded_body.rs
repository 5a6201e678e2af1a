use {
    super::{MemoryCharge, ResponseBuffer},
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
    /// Other responses hold the memory for responses.
    #[error("other responses hold the memory for responses")]
    NoMemory,
}

/// Reads the body of `response`, of at most `limit` bytes.
///
/// Fails as soon as the body is longer or breaks off; dropping the response closes its connection.
pub async fn bounded_body(response: Response, limit: usize) -> Result<Bytes, BoundedBodyError> {
    observed_body(response, limit, |_| {}).await
}

/// Reads the body of `response` like `bounded_body`, and calls `observe` with the length of each part of
/// it as it arrives.
pub async fn observed_body<O>(
    mut response: Response,
    limit: usize,
    observe: O,
) -> Result<Bytes, BoundedBodyError>
where
    O: Fn(usize),
{
    let mut body = BytesMut::new();
    while let Some(data) = response.chunk().await? {
        if body.len() + data.len() > limit {
            return Err(BoundedBodyError::TooLong(limit));
        }
        observe(data.len());
        body.extend_from_slice(&data);
    }
    Ok(body.freeze())
}

/// Reads the body of `response`, of at most `limit` bytes, into memory that `charge` accounts for until the body
/// is dropped.
///
/// Fails as soon as the body is longer, breaks off or finds no memory; dropping the response closes its
/// connection.
pub async fn charged_body(
    mut response: Response,
    limit: usize,
    charge: MemoryCharge,
) -> Result<Bytes, BoundedBodyError> {
    let mut body = ResponseBuffer::new(charge);
    let announced = response.content_length().unwrap_or_default() as usize;
    if announced > limit {
        return Err(BoundedBodyError::TooLong(limit));
    }
    if !body.reserve(announced) {
        return Err(BoundedBodyError::NoMemory);
    }
    while let Some(data) = response.chunk().await? {
        if body.size() + data.len() > limit {
            return Err(BoundedBodyError::TooLong(limit));
        }
        if !body.extend(&data) {
            return Err(BoundedBodyError::NoMemory);
        }
    }
    Ok(body.freeze())
}
