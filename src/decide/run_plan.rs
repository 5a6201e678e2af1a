use {crate::board::Tick, std::time::Duration};

/// Output tokens that a generation is assumed to have left once it exceeds its expected length.
const OVERRUN_TOKENS: f64 = 700.0;

/// Plan for the generation of one request at a decode engine.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    /// Id of the request in the ledger.
    pub id: u64,
    /// Prompt length in tokens.
    pub prompt: f64,
    /// Expected output length in tokens.
    pub output: f64,
    /// Expected time of the first token.
    pub start: Tick,
    /// Whether the decode engine itself prefills the prompt.
    pub local_prefill: bool,
}

impl RunPlan {
    /// Returns the run cut to what an engine with `memory` tokens can hold.
    #[must_use]
    pub fn within(&self, memory: f64) -> Self {
        let prompt = self.prompt.min(memory);
        Self {
            prompt,
            output: self.output.min(memory - prompt),
            ..*self
        }
    }

    /// Returns the generation time at `rate` output tokens per millisecond.
    pub fn time(&self, rate: f64) -> Duration {
        Duration::from_secs_f64(self.output / rate / 1_000.0)
    }

    /// Returns the memory in use at `at`, in tokens, at `rate` output tokens per millisecond.
    pub fn memory(&self, rate: f64, at: Tick) -> f64 {
        let grown = (at - self.start).as_secs_f64() * 1_000.0 * rate;
        self.prompt + grown
    }

    /// Returns the expected end as of `now`, at `rate` output tokens per millisecond.
    pub fn end(&self, rate: f64, now: Tick) -> Tick {
        let end = self.start + self.time(rate);
        if end > now {
            return end;
        }
        now + Duration::from_secs_f64(OVERRUN_TOKENS / rate / 1_000.0)
    }
}
