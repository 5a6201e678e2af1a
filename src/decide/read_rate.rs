use std::time::Duration;

/// Tokens a millisecond that an engine is taken to read before any was seen.
const FIRST_RATE: f64 = 50.0;

/// Part of what was seen before that is kept with each prompt.
const KEPT_SHARE: f64 = 0.9;

/// How much faster or slower than expected one prompt may count: parts that an engine holds already
/// take no time, and what others had in line is not always known.
const SURPRISE_MOST: f64 = 1.5;

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
        if tokens <= 0.0 || millis <= 0.0 {
            return;
        }
        let expected = tokens / self.per_milli();
        let millis = millis.clamp(expected / SURPRISE_MOST, expected * SURPRISE_MOST);
        // Sums let long prompts, which tell more than the way to the engine, weigh more.
        self.tokens = self.tokens * KEPT_SHARE + tokens;
        self.millis = self.millis * KEPT_SHARE + millis;
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
