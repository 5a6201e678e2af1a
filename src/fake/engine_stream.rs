use {
    super::{
        Fault, FaultKind,
        answer_text::print_text,
        engine_core::EngineCore,
        engine_run::{End, Progress, RunKey},
        fake_answer::breaking,
        fault::FaultPlan,
    },
    crate::border::{
        CACHE_GONE_REASON,
        endpoint_wire::{ChunkChoice, CompletionChunk, RefusalBody, RefusalBodyRan},
    },
    bytes::Bytes,
    futures_util::stream::unfold,
    poem::{Body, Response},
    std::{collections::VecDeque, future::pending, io, sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Identity in the chunks of the fault `Cross`.
const CROSSED_ATTEMPT: &str = "00000000deadbeef-1-1-0";

/// Time for the server to send the chunks before a break.
const FLUSH_TIME: Duration = Duration::from_millis(1);

/// Events of one token stream.
struct Events {
    core: Arc<EngineCore>,
    progress: watch::Receiver<Progress>,
    attempt: String,
    print: u64,
    /// Tokens of the answer that the prompt already has.
    base: u32,
    next: u32,
    faults: Vec<Fault>,
    queue: VecDeque<io::Result<Bytes>>,
    /// Chunk kept back until its successor was sent.
    late: Option<Bytes>,
    over: bool,
}

/// Answers with the tokens of an attempt from `index` on as server-sent events.
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
        attempt: run.seen.attempt.clone(),
        print: run.print,
        base: run.base,
        next: index,
        faults: draw(&mut state.faults),
        queue: VecDeque::new(),
        late: None,
        over: false,
    };
    drop(state);
    let breaks = events.faults.iter().any(|f| f.kind == FaultKind::Break);
    let stream = unfold(events, |mut events| async {
        let event = events.event().await?;
        Some((event, events))
    });
    let answer = if breaks {
        breaking(stream)
    } else {
        Response::builder().body(Body::from_bytes_stream(stream))
    };
    Some(answer.set_content_type("text/event-stream"))
}

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
    /// Next event; after a death none comes, and the server drops the connection.
    async fn event(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(event) = self.queue.pop_front() {
                if event.is_err() {
                    sleep(FLUSH_TIME).await;
                }
                return Some(event);
            }
            if self.over {
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

    fn advance(&mut self, progress: Progress) {
        match progress.end {
            Some(End::CacheGone) => self.refuse(),
            end => self.chunks(progress.tokens, end),
        }
    }

    /// Sends a chunk for each token, and an empty one if the end has no token of its own.
    fn chunks(&mut self, tokens: u32, end: Option<End>) {
        while self.next + 1 < tokens && !self.over {
            self.chunk(1, None);
        }
        if !self.over {
            self.chunk(tokens.saturating_sub(self.next), end);
        }
    }

    fn chunk(&mut self, count: u32, end: Option<End>) {
        if self.take(FaultKind::Truncate).is_some() {
            self.over = true;
            return;
        }
        if self.take(FaultKind::Break).is_some() {
            self.fail();
            return;
        }
        let event = self.wire(self.attempt.clone(), count, end);
        if self.take(FaultKind::Cross).is_some() {
            let crossed = self.wire(CROSSED_ATTEMPT.to_owned(), count, None);
            self.queue.push_back(Ok(crossed));
        }
        if self.take(FaultKind::Repeat).is_some() {
            self.queue.push_back(Ok(event.clone()));
        }
        if end.is_none() && self.take(FaultKind::Late).is_some() {
            self.late = Some(event);
        } else {
            self.queue.push_back(Ok(event));
            self.queue.extend(self.late.take().map(Ok));
        }
        self.next += count;
        self.over = end.is_some();
        self.core.lock().count_sent(count);
    }

    /// Takes a fault whose point is reached.
    fn take(&mut self, kind: FaultKind) -> Option<Fault> {
        let due = |fault: &Fault| fault.kind == kind && self.next >= fault.after;
        let i = self.faults.iter().position(due)?;
        Some(self.faults.remove(i))
    }

    fn wire(&self, attempt: String, count: u32, end: Option<End>) -> Bytes {
        let from = self.base + self.next;
        let chunk = CompletionChunk {
            choices: vec![ChunkChoice {
                finish_reason: end.map(|end| end.word().to_owned()),
                index: 0,
                text: print_text(self.print, from, from + count),
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

    fn refuse(&mut self) {
        let body = RefusalBody {
            ran: RefusalBodyRan::No,
            reason: CACHE_GONE_REASON.to_owned(),
        };
        let data = serde_json::to_string(&body).unwrap_or_default();
        let event = format!("event: error\ndata: {data}\n\n");
        self.queue.push_back(Ok(Bytes::from(event)));
        self.over = true;
    }

    fn fail(&mut self) {
        self.queue
            .push_back(Err(io::Error::other("connection broken")));
        self.over = true;
    }
}
