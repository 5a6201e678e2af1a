use {
    super::{
        Admission, CallerGone, Completion, ModelPath, Parts, Piece, Progress, Refused, Shared, Sink,
    },
    crate::board::Refusal,
    tokio::sync::mpsc,
};

/// Pieces of one answer that wait for a slow caller.
const PIECES_WAITING: usize = 16;

/// What a running completion tells the front end.
#[derive(Debug)]
pub enum CompletionEvent {
    /// Tokens.
    Piece(Piece),
    /// The end: nothing more follows.
    End(Result<Progress, Refused>),
}

/// Starts a completion; it is cancelled when the receiver is dropped.
pub fn start_completion<P>(
    shared: &Shared<P>,
    ask: Completion,
    admission: Admission,
) -> mpsc::Receiver<CompletionEvent>
where
    P: Parts,
{
    let (sender, receiver) = mpsc::channel(PIECES_WAITING);
    let shared = shared.clone();
    shared.clone().spawn(async move {
        shared.counters().running.inc();
        let mut sink = EventSink(sender.clone());
        tokio::select! {
            result = run(&shared, &ask, &mut sink) => {
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

/// Runs a completion to its end and returns why generation ended with it.
pub async fn finish_completion<P>(
    shared: &Shared<P>,
    ask: &Completion,
) -> Result<(Progress, Option<String>), Refused>
where
    P: Parts,
{
    let mut sink = LastFinish(None);
    let progress = run(shared, ask, &mut sink).await?;
    Ok((progress, sink.0))
}

/// Sink that turns pieces into events.
#[derive(Debug)]
struct EventSink(mpsc::Sender<CompletionEvent>);

impl Sink for EventSink {
    async fn send(&mut self, piece: Piece) -> Result<(), CallerGone> {
        self.0
            .send(CompletionEvent::Piece(piece))
            .await
            .map_err(|_gone| CallerGone)
    }
}

/// Sink that keeps only why generation ended; the text is in the progress.
#[derive(Debug)]
struct LastFinish(Option<String>);

impl Sink for LastFinish {
    async fn send(&mut self, piece: Piece) -> Result<(), CallerGone> {
        self.0 = piece.finish.or(self.0.take());
        Ok(())
    }
}

async fn run<P, K>(shared: &Shared<P>, ask: &Completion, sink: &mut K) -> Result<Progress, Refused>
where
    P: Parts,
    K: Sink,
{
    let path = ModelPath::new(shared, ask).ok_or_else(|| {
        let detail = "the kind is a plain service; call it below /v1/services/";
        Refused::not_run(Refusal::BadRequest, detail)
    })?;
    path.run(sink).await
}
