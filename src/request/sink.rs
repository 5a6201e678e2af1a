use {thiserror::Error, tokio::sync::mpsc};

/// Receiver of the tokens of a response; a front end supplies one.
pub trait Sink: Send {
    /// Sends a chunk to the caller, waiting while the caller reads slowly.
    ///
    /// # Errors
    ///
    /// Fails once the caller has disconnected.
    fn send(
        &mut self,
        chunk: TextChunk,
    ) -> impl Future<Output = Result<(), CallerDisconnected>> + Send;
}

/// Consecutive tokens of a response; each chunk starts where the one before it ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TextChunk {
    /// Index of the first token in the response, from 0.
    pub index: u32,
    /// Number of tokens in the chunk.
    pub count: u32,
    /// Text of the tokens.
    pub text: String,
    /// Reason why generation ended; only the final chunk has one.
    pub finish: Option<String>,
}

/// The caller disconnected; everything that the request holds is to be freed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the caller disconnected")]
pub struct CallerDisconnected;

impl Sink for mpsc::Sender<TextChunk> {
    async fn send(&mut self, chunk: TextChunk) -> Result<(), CallerDisconnected> {
        mpsc::Sender::send(self, chunk)
            .await
            .map_err(|_closed| CallerDisconnected)
    }
}
