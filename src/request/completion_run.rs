use {
    super::{
        Admission, CallerDisconnected, Completion, ModelPath, Parts, Progress, Refused, Shared,
        Sink, TextChunk,
    },
    crate::board::Refusal,
    tokio::sync::mpsc,
};

/// Maximum chunks of one response that are buffered for a slow caller.
const CHUNK_BUFFER: usize = 16;

/// Event of a running completion, for the front end.
#[derive(Debug)]
pub enum CompletionEvent {
    /// Next tokens of the response.
    TextChunk(TextChunk),
    /// The end of the response; no event follows.
    End(Result<Progress, Refused>),
}

/// Starts a completion and returns its events; dropping the receiver cancels it.
pub fn start_completion<P>(
    shared: &Shared<P>,
    completion: Completion,
    admission: Admission,
) -> mpsc::Receiver<CompletionEvent>
where
    P: Parts,
{
    let (sender, receiver) = mpsc::channel(CHUNK_BUFFER);
    let shared = shared.clone();
    shared.clone().spawn(async move {
        shared.counters().running.inc();
        let mut sink = EventSink(sender.clone());
        tokio::select! {
            result = run(&shared, &completion, &mut sink) => {
                drop(sender.send(CompletionEvent::End(result)).await);
            }
            () = sender.closed() => {
                shared.counters().abandoned.inc();
            }
        }
        drop(admission);
        shared.counters().running.dec();
    });
    receiver
}

/// Runs a completion to its end; returns what was generated and the reason why generation ended.
///
/// # Errors
///
/// Refuses the request as `ModelPath::run` does, or if its rule routes to a plain service.
pub async fn finish_completion<P>(
    shared: &Shared<P>,
    completion: &Completion,
) -> Result<(Progress, Option<String>), Refused>
where
    P: Parts,
{
    let mut sink = FinishSink(None);
    let progress = run(shared, completion, &mut sink).await?;
    Ok((progress, sink.0))
}

/// Sink that sends each chunk as an event.
#[derive(Debug)]
struct EventSink(mpsc::Sender<CompletionEvent>);

impl Sink for EventSink {
    async fn send(&mut self, chunk: TextChunk) -> Result<(), CallerDisconnected> {
        self.0
            .send(CompletionEvent::TextChunk(chunk))
            .await
            .map_err(|_closed| CallerDisconnected)
    }
}

/// Sink that keeps only the finish reason; the text is in the progress.
#[derive(Debug)]
struct FinishSink(Option<String>);

impl Sink for FinishSink {
    async fn send(&mut self, chunk: TextChunk) -> Result<(), CallerDisconnected> {
        self.0 = chunk.finish.or(self.0.take());
        Ok(())
    }
}

async fn run<P, K>(
    shared: &Shared<P>,
    completion: &Completion,
    sink: &mut K,
) -> Result<Progress, Refused>
where
    P: Parts,
    K: Sink,
{
    let path = ModelPath::new(shared, completion).ok_or_else(|| {
        let detail = "the kind is a plain service; call it below /v1/services/";
        Refused::not_run(Refusal::BadRequest, detail)
    })?;
    path.run(sink).await
}
