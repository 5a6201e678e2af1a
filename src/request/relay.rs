use {
    super::{CallerDisconnected, GrantHold, Parts, Progress, Shared, Sink, TextChunk},
    crate::{
        board::RetryReason,
        port::{Chunk, Engine, EngineError, Grant, TokenStream},
    },
    tokio::time::timeout,
};

/// Why a relay ended before the final chunk.
#[derive(Clone, Debug)]
pub enum RelayEnd {
    /// The caller disconnected.
    Disconnected,
    /// The endpoint failed, and the stream could not be resumed there.
    Failed(EngineError),
}

impl From<CallerDisconnected> for RelayEnd {
    fn from(_: CallerDisconnected) -> Self {
        Self::Disconnected
    }
}

/// Relays the tokens of one attempt to the caller, each exactly once and in order.
#[derive(Debug)]
pub struct Relay<'a, P>
where
    P: Parts,
{
    shared: &'a Shared<P>,
    grant: &'a Grant,
    progress: &'a mut Progress,
    prefill: Option<GrantHold<P>>,
    base: u32,
}

impl<'a, P> Relay<'a, P>
where
    P: Parts,
{
    /// Prepares to relay the attempt that holds `grant` after the tokens counted in `progress`.
    ///
    /// `prefill` holds the exported KV cache; it is released at the first chunk, which shows that
    /// the import is complete.
    pub fn new(
        shared: &'a Shared<P>,
        grant: &'a Grant,
        progress: &'a mut Progress,
        prefill: Option<GrantHold<P>>,
    ) -> Self {
        let base = progress.tokens;
        Self {
            shared,
            grant,
            progress,
            prefill,
            base,
        }
    }

    /// Relays until the final chunk, resuming a broken stream at the next token.
    ///
    /// # Errors
    ///
    /// Fails if the caller disconnects, or with the error of the stream once it cannot be resumed.
    pub async fn run<K>(
        mut self,
        mut tokens: <P::Engine as Engine>::Tokens,
        sink: &mut K,
    ) -> Result<(), RelayEnd>
    where
        K: Sink,
    {
        let mut resumes = self.shared.options().max_resumes;
        loop {
            let error = match self.stream(&mut tokens, sink).await {
                Ok(()) => return Ok(()),
                Err(RelayEnd::Failed(error)) => error,
                Err(end) => return Err(end),
            };
            if resumes == 0 {
                return Err(RelayEnd::Failed(error));
            }
            resumes -= 1;
            tokens = self
                .resume()
                .await
                .map_err(|_failed| RelayEnd::Failed(error))?;
            self.shared.counters().count_retry(RetryReason::Resumed);
        }
    }

    async fn resume(&self) -> Result<<P::Engine as Engine>::Tokens, EngineError> {
        let engine = self.shared.parts().engine();
        engine
            .resume(
                &self.grant.address,
                self.grant.attempt,
                self.progress.tokens - self.base,
            )
            .await
    }

    /// Relays chunks until the stream ends or breaks; a stall counts as a break.
    async fn stream<K>(
        &mut self,
        tokens: &mut <P::Engine as Engine>::Tokens,
        sink: &mut K,
    ) -> Result<(), RelayEnd>
    where
        K: Sink,
    {
        loop {
            let next = timeout(self.shared.options().stall_timeout, tokens.next()).await;
            let stalled = |_| EngineError::Broken("no token within the stall limit".to_owned());
            let chunk = next
                .map_err(stalled)
                .and_then(|next| next)
                .map_err(RelayEnd::Failed)?;
            match chunk {
                Some(chunk) => self.relay_chunk(chunk, sink).await?,
                None => return Ok(()),
            }
        }
    }

    /// Relays one chunk and frees the exported KV cache.
    async fn relay_chunk<K>(&mut self, chunk: Chunk, sink: &mut K) -> Result<(), RelayEnd>
    where
        K: Sink,
    {
        self.prefill = None;
        let relayed = TextChunk {
            index: self.base + chunk.index,
            count: chunk.count,
            text: chunk.text,
            finish: chunk.finish,
        };
        self.progress.record(&relayed);
        self.shared
            .counters()
            .tokens
            .inc_by(u64::from(relayed.count));
        Ok(sink.send(relayed).await?)
    }
}
