use {
    super::peer_wire::MAX_MESSAGE_BYTES,
    bytes::{Bytes, BytesMut},
    h2::RecvStream,
    thiserror::Error,
};

/// The error of reading the body of a message.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    /// The stream was reset, or its connection failed.
    #[error("the stream broke off: {0}")]
    Stream(#[from] h2::Error),
    /// The body exceeds the maximum length of a message.
    #[error("the body is longer than {MAX_MESSAGE_BYTES} bytes")]
    Size,
}

/// Reads a body of at most `MAX_MESSAGE_BYTES` bytes; releases flow-control capacity chunk by
/// chunk.
pub(super) async fn read_body(mut stream: RecvStream) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        if body.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(BodyError::Size);
        }
        stream.flow_control().release_capacity(chunk.len())?;
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
