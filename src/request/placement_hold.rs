use {
    super::{ForwardCall, ForwardParts, ForwardShared},
    crate::{
        board::Tick,
        port::{PlacementEnd, Placer, RunEnd, UpstreamError},
    },
    std::time::Duration,
};

/// Number of events from which on a response counts as an answer. An engine that a prompt crashes may
/// still write the first ones.
const ANSWER_EVENTS: u64 = 8;

/// A placement that the placing daemon keeps for a stream; dropping it reports its end there, and how
/// the run ended, which also matters if this daemon placed the stream alone.
#[derive(Debug)]
pub struct PlacementHold<P>
where
    P: ForwardParts,
{
    shared: ForwardShared<P>,
    end: PlacementEnd,
    placed: Tick,
    first: Option<Tick>,
    events: u64,
}

impl<P> PlacementHold<P>
where
    P: ForwardParts,
{
    /// Takes over placement `id` of `call` at `engine`.
    pub fn new(shared: &ForwardShared<P>, call: &ForwardCall, id: u64, engine: &str) -> Self {
        Self {
            shared: shared.clone(),
            end: PlacementEnd {
                id,
                pool: call.pool.clone(),
                engine: engine.to_owned(),
                causes: call.causes.clone(),
                run: RunEnd::Unknown,
                ran_for: Duration::ZERO,
                complete: false,
                generated_tokens: 0,
                decode_time: Duration::ZERO,
                prefill_time: Duration::ZERO,
            },
            placed: shared.now(),
            first: None,
            events: 0,
        }
    }

    /// Records the time that the remote prefill took.
    pub fn prefilled(&mut self, took: Duration) {
        self.end.prefill_time = took;
    }

    /// Records the error that ended the run; an engine that breaks off early counts as crashed.
    pub fn failed(&mut self, error: &UpstreamError) {
        if matches!(error, UpstreamError::Broken(_)) && self.events < ANSWER_EVENTS {
            self.end.run = RunEnd::Crashed;
        }
    }

    /// Records the regular end of a response of `events`, which earlier runs may have begun.
    pub fn answered(&mut self, events: u64) {
        self.end.run = RunEnd::Answered;
        self.end.complete = self.events == events;
    }

    /// Records an event for which `tokens` were generated; those of the first are not counted.
    pub fn generated(&mut self, tokens: u64) {
        let now = self.shared.now();
        self.events += 1;
        if self.events >= ANSWER_EVENTS {
            self.end.run = RunEnd::Answered;
        }
        match self.first {
            None => self.first = Some(now),
            Some(first) => {
                self.end.generated_tokens += tokens;
                self.end.decode_time = now - first;
            }
        }
    }
}

impl<P> Drop for PlacementHold<P>
where
    P: ForwardParts,
{
    fn drop(&mut self) {
        self.end.ran_for = self.shared.now() - self.placed;
        self.shared.parts().placer().end(self.end.clone());
    }
}
