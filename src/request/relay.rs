use {
    super::{CallerGone, Held, Parts, Piece, Progress, Shared, Sink},
    crate::{
        board::RetryReason,
        decide::{ChunkCheck, ChunkError, ChunkVerdict},
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
    check: ChunkCheck,
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
            check: ChunkCheck::new(grant.attempt, 0),
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
            .resume(&self.grant.address, self.grant.attempt, self.check.next())
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
            let Some(chunk) = chunk else {
                let end = self.check.end();
                return end.map_err(broken);
            };
            if self.pass(chunk, sink).await? {
                return Ok(());
            }
        }
    }

    /// Checks a chunk and passes it on; returns whether it was the final one.
    async fn pass<K>(&mut self, chunk: Chunk, sink: &mut K) -> Result<bool, RelayEnd>
    where
        K: Sink,
    {
        let verdict = self.check.accept(&chunk);
        let verdict = verdict.map_err(broken)?;
        if let ChunkVerdict::Drop(_) = verdict {
            self.shared.counters().stray.inc();
            return Ok(false);
        }
        self.prefill = None;
        let finished = chunk.finish.is_some();
        let piece = Piece {
            index: self.base + chunk.index,
            count: chunk.count,
            text: chunk.text,
            finish: chunk.finish,
        };
        self.progress.record(&piece);
        self.shared.counters().tokens.inc_by(u64::from(piece.count));
        sink.send(piece).await?;
        Ok(finished)
    }
}

fn broken(error: ChunkError) -> RelayEnd {
    RelayEnd::Failed(EngineError::Broken(error.to_string()))
}
