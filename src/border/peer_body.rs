use {
    super::peer_wire::MESSAGE_BYTES,
    bytes::{Bytes, BytesMut},
    h2::RecvStream,
    thiserror::Error,
};

/// Why the body of a message could not be read.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    /// The stream broke.
    #[error("the stream broke: {0}")]
    Stream(#[from] h2::Error),
    /// The body is longer than a message may be.
    #[error("the body is longer than {MESSAGE_BYTES} bytes")]
    Size,
}

/// Reads a body of at most `MESSAGE_BYTES` bytes, giving flow-control capacity back as it goes.
pub(super) async fn read_body(mut stream: RecvStream) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        if body.len() + chunk.len() > MESSAGE_BYTES {
            return Err(BodyError::Size);
        }
        stream.flow_control().release_capacity(chunk.len())?;
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
