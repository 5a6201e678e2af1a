use {
    super::{ForwardParts, ForwardShared},
    crate::{
        board::Tick,
        port::{PlaceEnd, Placer},
    },
    std::time::Duration,
};

/// Places that another daemon, or this one, keeps for a stream. Dropping it gives them back.
#[derive(Debug)]
pub struct PlacementHold<P>
where
    P: ForwardParts,
{
    shared: ForwardShared<P>,
    end: PlaceEnd,
    first: Option<Tick>,
}

impl<P> PlacementHold<P>
where
    P: ForwardParts,
{
    /// Takes charge of the places of request `id` in `pool`.
    pub fn new(shared: &ForwardShared<P>, id: u64, pool: &str) -> Self {
        Self {
            shared: shared.clone(),
            end: PlaceEnd {
                id,
                pool: pool.to_owned(),
                crashed: None,
                generated: 0,
                decoding: Duration::ZERO,
                reading: Duration::ZERO,
            },
            first: None,
        }
    }

    /// Notes the time that the prompt took to be read apart.
    pub fn read(&mut self, took: Duration) {
        self.end.reading = took;
    }

    /// Notes that the engine broke off before any event of the request with this fingerprint.
    pub fn crashed(&mut self, print: u64) {
        self.end.crashed = Some(print);
    }

    /// Notes `tokens` that were generated since the event before.
    pub fn generated(&mut self, tokens: u64) {
        let now = self.shared.now();
        match self.first {
            None => self.first = Some(now),
            Some(first) => {
                self.end.generated += tokens;
                self.end.decoding = now - first;
            }
        }
    }
}

impl<P> Drop for PlacementHold<P>
where
    P: ForwardParts,
{
    fn drop(&mut self) {
        self.shared.parts().placer().end(self.end.clone());
    }
}
