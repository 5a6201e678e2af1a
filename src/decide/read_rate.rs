use std::time::Duration;

/// Tokens a millisecond that an engine is taken to read before any was seen.
const FIRST_RATE: f64 = 50.0;

/// Part of what was seen before that is kept with each prompt.
const KEPT_SHARE: f64 = 0.9;

/// Greatest rise of the rate that one prompt may stand for: parts of a prompt that an engine holds
/// already take no time.
const RISE_MOST: f64 = 1.5;

/// How fast prompts are read.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadRate {
    tokens: f64,
    millis: f64,
}

impl ReadRate {
    /// Notes that `tokens` took `time`; nothing is learned from an empty prompt or time.
    pub fn note(&mut self, tokens: f64, time: Duration) {
        let millis = time.as_secs_f64() * 1_000.0;
        if tokens > 0.0 && millis > 0.0 {
            let most = self.per_milli() * RISE_MOST * millis;
            // Sums let long prompts, which tell more than the way to the engine, weigh more.
            self.tokens = self.tokens * KEPT_SHARE + tokens.min(most);
            self.millis = self.millis * KEPT_SHARE + millis;
        }
    }

    /// Tokens a millisecond; that of `other` if none was seen.
    pub fn or(self, other: f64) -> f64 {
        if self.millis > 0.0 {
            self.tokens / self.millis
        } else {
            other
        }
    }

    /// Tokens a millisecond.
    pub fn per_milli(self) -> f64 {
        self.or(FIRST_RATE)
    }
}
