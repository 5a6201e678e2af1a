use {
    super::{
        endpoint_answer::CACHE_GONE_REASON,
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

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// Type of an event that carries a refusal.
const ERROR_EVENT: &str = "error";

/// Checked chunks of a server-sent event stream; dropping a call of `next` loses no chunk.
pub struct EngineTokens {
    events: EventStream<BodyDataStream<Body>>,
    check: ChunkCheck,
    stray: Counter,
}

impl EngineTokens {
    pub(super) fn new(response: Response, check: ChunkCheck, stray: Counter) -> Self {
        Self {
            events: EventStream::new(BodyDataStream::new(Body::from(response))),
            check,
            stray,
        }
    }

    async fn event(&mut self) -> Result<Event, EngineError> {
        match self.events.next().await {
            Some(Ok(event)) if event.data != DONE => Ok(event),
            Some(Err(e)) => Err(EngineError::Broken(e.to_string())),
            Some(Ok(_)) | None => Err(self.truncated()),
        }
    }

    fn truncated(&self) -> EngineError {
        let text = match self.check.end() {
            Ok(()) => "the stream went on after its end".to_owned(),
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

fn parse(event: &Event) -> Result<Chunk, EngineError> {
    if event.event == ERROR_EVENT {
        return Err(stated(&event.data));
    }
    serde_json::from_str(&event.data)
        .ok()
        .and_then(chunk)
        .ok_or_else(|| EngineError::Broken(format!("a malformed chunk: {}", event.data)))
}

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

fn stated(data: &str) -> EngineError {
    match serde_json::from_str::<RefusalBody>(data) {
        Ok(body) if body.ran == RefusalBodyRan::No && body.reason == CACHE_GONE_REASON => {
            EngineError::CacheEvicted
        }
        Ok(body) => EngineError::Broken(body.reason),
        Err(e) => EngineError::Broken(e.to_string()),
    }
}
