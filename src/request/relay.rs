use {
    super::{
        CallerDisconnected, GrantHold, Parts, Progress, Sink, TextChunk,
        overdue_call::{CallError, OverdueCall},
    },
    crate::{
        board::RetryReason,
        port::{Chunk, Engine, EngineError, Grant, TokenStream},
    },
    tokio::time::timeout,
};

/// Why a relay ended before the final chunk.
#[derive(Debug)]
pub enum RelayEnd {
    /// The caller disconnected.
    Disconnected,
    /// The endpoint failed, and the stream could not be resumed there.
    Failed(CallError),
}

impl From<CallerDisconnected> for RelayEnd {
    fn from(_: CallerDisconnected) -> Self {
        Self::Disconnected
    }
}

/// How a stream that did not fail ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Streamed {
    /// With its final chunk.
    Complete,
    /// It is silent and may be resumed.
    Stalled,
}

/// Relays the tokens of one attempt to the caller, each exactly once and in order.
#[derive(Debug)]
pub struct Relay<'a, P>
where
    P: Parts,
{
    overdue: OverdueCall<'a, P>,
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
    /// `overdue` states when it may be given up.
    /// `prefill` holds the exported KV cache; it is released at the first chunk, which shows that
    /// the import is complete.
    pub fn new(
        overdue: OverdueCall<'a, P>,
        grant: &'a Grant,
        progress: &'a mut Progress,
        prefill: Option<GrantHold<P>>,
    ) -> Self {
        let base = progress.tokens;
        Self {
            overdue,
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
        let mut resumes = self.overdue.shared.options().max_resumes;
        loop {
            let failed = match self.stream(&mut tokens, resumes > 0, sink).await {
                Ok(Streamed::Complete) => return Ok(()),
                Ok(Streamed::Stalled) => None,
                Err(RelayEnd::Failed(failed)) if resumes > 0 => Some(failed),
                Err(end) => return Err(end),
            };
            resumes -= 1;
            match (self.resume().await, failed) {
                (Ok(next), _) => tokens = next,
                (Err(_), Some(failed)) => return Err(RelayEnd::Failed(failed)),
                (Err(error @ EngineError::UnknownAttempt), None) => {
                    return Err(RelayEnd::Failed(error.into()));
                }
                // The stream that is silent may still go on.
                (Err(_), None) => continue,
            }
            let counters = self.overdue.shared.counters();
            counters.count_retry(RetryReason::Resumed);
        }
    }

    async fn resume(&self) -> Result<<P::Engine as Engine>::Tokens, EngineError> {
        let engine = self.overdue.shared.parts().engine();
        engine
            .resume(
                &self.grant.address,
                self.grant.attempt,
                self.progress.tokens - self.base,
            )
            .await
    }

    /// Relays chunks until the stream ends or breaks. A stall ends it where it may be resumed, else once a
    /// retry may follow.
    async fn stream<K>(
        &mut self,
        tokens: &mut <P::Engine as Engine>::Tokens,
        may_resume: bool,
        sink: &mut K,
    ) -> Result<Streamed, RelayEnd>
    where
        K: Sink,
    {
        let limit = self.overdue.shared.options().stall_timeout;
        loop {
            let next = tokens.next();
            let chunk = if may_resume {
                let Ok(next) = timeout(limit, next).await else {
                    return Ok(Streamed::Stalled);
                };
                next.map_err(CallError::from)
            } else {
                self.overdue.wait(limit, next).await
            };
            match chunk.map_err(RelayEnd::Failed)? {
                Some(chunk) => self.relay_chunk(chunk, sink).await?,
                None => return Ok(Streamed::Complete),
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
        let counters = self.overdue.shared.counters();
        counters.tokens.inc_by(u64::from(relayed.count));
        Ok(sink.send(relayed).await?)
    }
}
