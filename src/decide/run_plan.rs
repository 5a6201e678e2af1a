use {crate::board::Tick, std::time::Duration};

/// Tokens that an answer is taken to go on for when it is longer than was expected.
const MORE_TOKENS: f64 = 700.0;

/// One answer that an engine generates.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    /// Number of the request.
    pub id: u64,
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens that the answer is expected to have.
    pub output: f64,
    /// When its first token is expected.
    pub start: Tick,
    /// Whether the prompt is read where the answer is generated.
    pub in_place: bool,
}

impl RunPlan {
    /// The run cut to what an engine of `memory` tokens can hold.
    #[must_use]
    pub fn within(&self, memory: f64) -> Self {
        let prompt = self.prompt.min(memory);
        Self {
            prompt,
            output: self.output.min(memory - prompt),
            ..*self
        }
    }

    /// Time that the answer takes.
    pub fn time(&self, rate: f64) -> Duration {
        Duration::from_secs_f64(self.output / rate / 1_000.0)
    }

    /// Memory at `at`.
    pub fn memory(&self, rate: f64, at: Tick) -> f64 {
        let grown = (at - self.start).as_secs_f64() * 1_000.0 * rate;
        self.prompt + grown
    }

    /// When it ends, seen from `now`.
    pub fn end(&self, rate: f64, now: Tick) -> Tick {
        let end = self.start + self.time(rate);
        if end > now {
            return end;
        }
        now + Duration::from_secs_f64(MORE_TOKENS / rate / 1_000.0)
    }
}
