use {
    super::{CallerGone, Held, Parts, Piece, Progress, Shared, Sink},
    crate::{
        board::RetryReason,
        port::{Chunk, Engine, EngineError, Grant, TokenStream},
    },
    tokio::time::timeout,
};

/// How a relay ended early.
#[derive(Clone, Debug)]
pub enum RelayEnd {
    /// The caller has gone.
    Gone,
    /// The endpoint failed.
    Failed(EngineError),
}

impl From<CallerGone> for RelayEnd {
    fn from(_: CallerGone) -> Self {
        Self::Gone
    }
}

/// Passes the tokens of one attempt on, each exactly once and in order.
#[derive(Debug)]
pub struct Relay<'a, P>
where
    P: Parts,
{
    shared: &'a Shared<P>,
    grant: &'a Grant,
    progress: &'a mut Progress,
    prefill: Option<Held<P>>,
    base: u32,
}

impl<'a, P> Relay<'a, P>
where
    P: Parts,
{
    /// Prepares to relay the attempt that holds `grant`, after what `progress` has relayed.
    ///
    /// `prefill` holds the exported KV cache and is freed by the first chunk, which shows that
    /// the import is complete.
    pub fn new(
        shared: &'a Shared<P>,
        grant: &'a Grant,
        progress: &'a mut Progress,
        prefill: Option<Held<P>>,
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
    pub async fn run<K>(
        mut self,
        mut tokens: <P::Engine as Engine>::Tokens,
        sink: &mut K,
    ) -> Result<(), RelayEnd>
    where
        K: Sink,
    {
        let mut resumes = self.shared.options().resumes;
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
                .map_err(|_again| RelayEnd::Failed(error))?;
            self.shared.counters().retry(RetryReason::Resumed);
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

    async fn stream<K>(
        &mut self,
        tokens: &mut <P::Engine as Engine>::Tokens,
        sink: &mut K,
    ) -> Result<(), RelayEnd>
    where
        K: Sink,
    {
        loop {
            let next = timeout(self.shared.options().stall, tokens.next()).await;
            let stalled = |_| EngineError::Broken("no token within the stall limit".to_owned());
            let chunk = next
                .map_err(stalled)
                .and_then(|next| next)
                .map_err(RelayEnd::Failed)?;
            match chunk {
                Some(chunk) => self.pass(chunk, sink).await?,
                None => return Ok(()),
            }
        }
    }

    /// Passes a chunk on.
    async fn pass<K>(&mut self, chunk: Chunk, sink: &mut K) -> Result<(), RelayEnd>
    where
        K: Sink,
    {
        self.prefill = None;
        let piece = Piece {
            index: self.base + chunk.index,
            count: chunk.count,
            text: chunk.text,
            finish: chunk.finish,
        };
        self.progress.record(&piece);
        self.shared.counters().tokens.inc_by(u64::from(piece.count));
        Ok(sink.send(piece).await?)
    }
}
