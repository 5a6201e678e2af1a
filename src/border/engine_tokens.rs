use {
    super::{
        endpoint_response::CACHE_EVICTED_REASON,
        endpoint_wire::{CompletionChunk, RefusalBody, RefusalBodyRan},
    },
    crate::{
        decide::{ChunkCheck, ChunkVerdict},
        port::{Chunk, EngineError, TokenStream},
    },
    eventsource_stream::{Event, EventStream},
    futures_util::StreamExt,
    http_body_util::BodyDataStream,
    prometheus_client::metrics::counter::Counter,
    reqwest::{Body, Response},
    std::fmt::{self, Debug, Formatter},
};

/// Data of the event that marks the end of a stream.
const DONE: &str = "[DONE]";

/// Type of an event whose data is a refusal body.
const ERROR_EVENT: &str = "error";

/// Token stream of an engine: the checked chunks of a server-sent event stream.
///
/// Dropping the future of `next` loses no chunk.
pub struct EngineTokens {
    events: EventStream<BodyDataStream<Body>>,
    check: ChunkCheck,
    stray: Counter,
}

impl EngineTokens {
    /// Creates the stream of the chunks in the body of `response`; `check` validates them, `stray`
    /// counts the dropped ones.
    pub(super) fn new(response: Response, check: ChunkCheck, stray: Counter) -> Self {
        Self {
            events: EventStream::new(BodyDataStream::new(Body::from(response))),
            check,
            stray,
        }
    }

    /// Returns the next event; fails if the stream breaks off or ends before its final chunk.
    async fn event(&mut self) -> Result<Event, EngineError> {
        match self.events.next().await {
            Some(Ok(event)) if event.data != DONE => Ok(event),
            Some(Err(e)) => Err(EngineError::Broken(e.to_string())),
            Some(Ok(_)) | None => Err(self.end_error()),
        }
    }

    /// Error for a stream that ended before its final chunk.
    fn end_error(&self) -> EngineError {
        let text = match self.check.end() {
            Ok(()) => "the stream continued after its final chunk".to_owned(),
            Err(e) => e.to_string(),
        };
        EngineError::Broken(text)
    }
}

impl TokenStream for EngineTokens {
    async fn next(&mut self) -> Result<Option<Chunk>, EngineError> {
        while !self.check.is_done() {
            let event = self.event().await?;
            let chunk = parse(&event)?;
            match self.check.accept(&chunk) {
                Ok(ChunkVerdict::Accept) => return Ok(Some(chunk)),
                Ok(ChunkVerdict::Drop(_)) => self.stray.inc(),
                Err(e) => return Err(EngineError::Broken(e.to_string())),
            };
        }
        Ok(None)
    }
}

impl Debug for EngineTokens {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("EngineTokens")
            .field("check", &self.check)
            .finish_non_exhaustive()
    }
}

/// Reads the chunk of an event; fails if the event carries a refusal or is malformed.
fn parse(event: &Event) -> Result<Chunk, EngineError> {
    if event.event == ERROR_EVENT {
        return Err(event_error(&event.data));
    }
    serde_json::from_str(&event.data)
        .ok()
        .and_then(chunk)
        .ok_or_else(|| EngineError::Broken(format!("malformed chunk: {}", event.data)))
}

/// Converts a chunk of the wire format; `None` without a choice or with a malformed attempt.
fn chunk(wire: CompletionChunk) -> Option<Chunk> {
    let choice = wire.choices.into_iter().next()?;
    Some(Chunk {
        attempt: wire.id.parse().ok()?,
        index: wire.token_index,
        count: wire.token_count,
        text: choice.text,
        finish: choice.finish_reason,
    })
}

/// Converts the refusal body in the data of an error event.
fn event_error(data: &str) -> EngineError {
    match serde_json::from_str::<RefusalBody>(data) {
        Ok(body) if body.ran == RefusalBodyRan::No && body.reason == CACHE_EVICTED_REASON => {
            EngineError::CacheEvicted
        }
        Ok(body) => EngineError::Broken(body.reason),
        Err(e) => EngineError::Broken(e.to_string()),
    }
}
