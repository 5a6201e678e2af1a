use {super::output_lengths::MAX_OUTPUT_RATIO, crate::board::Tick, std::time::Duration};

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

    /// Returns the longest generation time at `rate` output tokens per millisecond.
    pub fn longest_time(&self, rate: f64) -> Duration {
        Duration::from_secs_f64(self.output * MAX_OUTPUT_RATIO / rate / 1_000.0)
    }

    /// Returns the milliseconds from the first token to `at`; negative before it.
    pub fn age(&self, at: Tick) -> f64 {
        ((at - self.start).as_secs_f64() - (self.start - at).as_secs_f64()) * 1_000.0
    }

    /// Returns the memory in use at `at` if the generation still runs, in tokens, at `rate` output
    /// tokens per millisecond.
    pub fn memory(&self, rate: f64, at: Tick) -> f64 {
        let longest = self.output * MAX_OUTPUT_RATIO;
        self.prompt + (self.age(at).max(0.0) * rate).min(longest)
    }
}
