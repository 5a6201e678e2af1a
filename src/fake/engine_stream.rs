use {
    super::{
        Fault, FaultKind,
        completion_text::render_tokens,
        endpoint_response::breaking,
        engine_core::EngineCore,
        engine_run::{End, Progress, RunKey},
        fault::FaultPlan,
    },
    crate::border::{
        CACHE_EVICTED_REASON,
        endpoint_wire::{ChunkChoice, CompletionChunk, RefusalBody, RefusalBodyRan},
    },
    bytes::Bytes,
    futures_util::stream::unfold,
    poem::{Body, Response},
    std::{collections::VecDeque, future::pending, io, sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Attempt identity in the chunks that the fault `Cross` adds.
const CROSSED_ATTEMPT: &str = "00000000deadbeef-1-1-0";

/// Time left for the server to send the queued chunks before the connection breaks.
const FLUSH_TIME: Duration = Duration::from_millis(1);

/// State of one stream of tokens as server-sent events.
struct Events {
    core: Arc<EngineCore>,
    progress: watch::Receiver<Progress>,
    attempt: String,
    fingerprint: u64,
    /// Generated tokens that the prompt already holds at its end.
    prior_tokens: u32,
    /// Index of the next token to send.
    next: u32,
    faults: Vec<Fault>,
    queue: VecDeque<io::Result<Bytes>>,
    /// Chunk that the fault `Late` holds back until its successor is sent.
    delayed: Option<Bytes>,
    ended: bool,
}

/// Responds with the tokens of an attempt from `index` on as server-sent events; `None` if the
/// attempt is not known.
pub(super) fn events(
    core: &Arc<EngineCore>,
    key: RunKey,
    progress: watch::Receiver<Progress>,
    index: u32,
) -> Option<Response> {
    let mut state = core.lock();
    let run = state.runs.get(key)?;
    let events = Events {
        core: Arc::clone(core),
        progress,
        attempt: run.observed.attempt.clone(),
        fingerprint: run.fingerprint,
        prior_tokens: run.prior_tokens,
        next: index,
        faults: draw(&mut state.faults),
        queue: VecDeque::new(),
        delayed: None,
        ended: false,
    };
    drop(state);
    let breaks = events.faults.iter().any(|f| f.kind == FaultKind::Break);
    let stream = unfold(events, |mut events| async {
        let event = events.event().await?;
        Some((event, events))
    });
    let response = if breaks {
        breaking(stream)
    } else {
        Response::builder().body(Body::from_bytes_stream(stream))
    };
    Some(response.set_content_type("text/event-stream"))
}

/// Draws the faults of one stream.
fn draw(faults: &mut FaultPlan) -> Vec<Fault> {
    let kinds = [
        FaultKind::Truncate,
        FaultKind::Break,
        FaultKind::Repeat,
        FaultKind::Cross,
        FaultKind::Late,
    ];
    kinds
        .into_iter()
        .filter_map(|kind| faults.draw(kind))
        .collect()
}

impl Events {
    /// Returns the next event; `None` at the end of the stream.
    ///
    /// Never returns after a death: the server drops the connection instead.
    async fn event(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(event) = self.queue.pop_front() {
                if event.is_err() {
                    sleep(FLUSH_TIME).await;
                }
                return Some(event);
            }
            if self.ended {
                return None;
            }
            let progress = *self.progress.borrow_and_update();
            if progress.end == Some(End::Died) {
                return pending().await;
            }
            if progress.tokens > self.next || progress.end.is_some() {
                self.advance(progress);
            } else if self.progress.changed().await.is_err() {
                return pending().await;
            }
        }
    }

    /// Queues the events up to `progress`.
    fn advance(&mut self, progress: Progress) {
        match progress.end {
            Some(End::CacheGone) => self.refuse(),
            end => self.chunks(progress.tokens, end),
        }
    }

    /// Queues a chunk for each token; the last one carries the end, and is empty if all tokens were
    /// already sent.
    fn chunks(&mut self, tokens: u32, end: Option<End>) {
        while self.next + 1 < tokens && !self.ended {
            self.chunk(1, None);
        }
        if !self.ended {
            self.chunk(tokens.saturating_sub(self.next), end);
        }
    }

    /// Queues a chunk of `count` tokens and applies the faults that are due at it.
    fn chunk(&mut self, count: u32, end: Option<End>) {
        if self.take(FaultKind::Truncate).is_some() {
            self.ended = true;
            return;
        }
        if self.take(FaultKind::Break).is_some() {
            self.fail();
            return;
        }
        let event = self.encode(self.attempt.clone(), count, end);
        if self.take(FaultKind::Cross).is_some() {
            let crossed = self.encode(CROSSED_ATTEMPT.to_owned(), count, None);
            self.queue.push_back(Ok(crossed));
        }
        if self.take(FaultKind::Repeat).is_some() {
            self.queue.push_back(Ok(event.clone()));
        }
        if end.is_none() && self.take(FaultKind::Late).is_some() {
            self.delayed = Some(event);
        } else {
            self.queue.push_back(Ok(event));
            self.queue.extend(self.delayed.take().map(Ok));
        }
        self.next += count;
        self.ended = end.is_some();
        self.core.lock().count_sent(count);
    }

    /// Removes and returns a fault of `kind` that is due at the next token.
    fn take(&mut self, kind: FaultKind) -> Option<Fault> {
        let due = |fault: &Fault| fault.kind == kind && self.next >= fault.after;
        let i = self.faults.iter().position(due)?;
        Some(self.faults.remove(i))
    }

    /// Encodes a chunk of `count` tokens as a server-sent event.
    fn encode(&self, attempt: String, count: u32, end: Option<End>) -> Bytes {
        let from = self.prior_tokens + self.next;
        let chunk = CompletionChunk {
            choices: vec![ChunkChoice {
                finish_reason: end.map(|end| end.as_str().to_owned()),
                index: 0,
                text: render_tokens(self.fingerprint, from, from + count),
            }],
            id: attempt,
            object: "text_completion".to_owned(),
            token_count: count,
            token_index: self.next,
        };
        let data = serde_json::to_string(&chunk).unwrap_or_default();
        let done = if end.is_some() {
            "data: [DONE]\n\n"
        } else {
            ""
        };
        Bytes::from(format!("data: {data}\n\n{done}"))
    }

    /// Ends the stream with the error event for a KV cache that could not be imported.
    fn refuse(&mut self) {
        let body = RefusalBody {
            ran: RefusalBodyRan::No,
            reason: CACHE_EVICTED_REASON.to_owned(),
        };
        let data = serde_json::to_string(&body).unwrap_or_default();
        let event = format!("event: error\ndata: {data}\n\n");
        self.queue.push_back(Ok(Bytes::from(event)));
        self.ended = true;
    }

    /// Breaks the connection once the queued chunks are sent.
    fn fail(&mut self) {
        self.queue
            .push_back(Err(io::Error::other("fault injected: connection broken")));
        self.ended = true;
    }
}
