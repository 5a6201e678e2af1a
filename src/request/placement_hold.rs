use {
    super::{ForwardParts, ForwardShared},
    crate::{
        board::Tick,
        port::{PlacementEnd, Placer},
    },
    std::time::Duration,
};

/// A placement that the placing daemon keeps for a stream; dropping it reports its end there.
#[derive(Debug)]
pub struct PlacementHold<P>
where
    P: ForwardParts,
{
    shared: ForwardShared<P>,
    end: PlacementEnd,
    first: Option<Tick>,
}

impl<P> PlacementHold<P>
where
    P: ForwardParts,
{
    /// Takes over placement `id` in `pool`.
    pub fn new(shared: &ForwardShared<P>, id: u64, pool: &str) -> Self {
        Self {
            shared: shared.clone(),
            end: PlacementEnd {
                id,
                pool: pool.to_owned(),
                crash_fingerprint: None,
                generated_tokens: 0,
                decode_time: Duration::ZERO,
                prefill_time: Duration::ZERO,
            },
            first: None,
        }
    }

    /// Records the time that the remote prefill took.
    pub fn prefilled(&mut self, took: Duration) {
        self.end.prefill_time = took;
    }

    /// Records that the engine broke off before the first event of the request with `fingerprint`.
    pub fn crashed(&mut self, fingerprint: u64) {
        self.end.crash_fingerprint = Some(fingerprint);
    }

    /// Records an event for which `tokens` were generated; those of the first are not counted.
    pub fn generated(&mut self, tokens: u64) {
        let now = self.shared.now();
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
        self.shared.parts().placer().end(self.end.clone());
    }
}
