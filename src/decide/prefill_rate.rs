use std::time::Duration;

/// Prefill rate in tokens per millisecond that is assumed before the first sample.
const INITIAL_TOKENS_PER_MS: f64 = 50.0;

/// Weight that earlier samples keep when a new one is added.
const HISTORY_RATIO: f64 = 0.9;

/// Largest factor by which one sample may lie above or below the expected time.
///
/// Cached parts of a prompt take no prefill time, and prompts that other daemons have queued at the
/// engine are not always known, so single samples can be far off.
const MAX_DEVIATION_RATIO: f64 = 1.5;

/// Estimated prefill rate, in tokens per millisecond, as an exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillRate {
    /// Decayed sum of the tokens of the samples.
    tokens: f64,
    /// Decayed sum of the times of the samples, in milliseconds.
    millis: f64,
}

impl PrefillRate {
    /// Adds a sample: prefill of `tokens` took `time`. Samples without tokens or time are ignored.
    pub fn record(&mut self, tokens: f64, time: Duration) {
        let millis = time.as_secs_f64() * 1_000.0;
        if tokens <= 0.0 || millis <= 0.0 {
            return;
        }
        let expected = tokens / self.tokens_per_ms();
        let millis = millis.clamp(
            expected / MAX_DEVIATION_RATIO,
            expected * MAX_DEVIATION_RATIO,
        );
        // Sums give more weight to long prompts, whose time depends less on the network round trip.
        self.tokens = self.tokens * HISTORY_RATIO + tokens;
        self.millis = self.millis * HISTORY_RATIO + millis;
    }

    /// Returns the rate in tokens per millisecond, or `other` without samples.
    pub fn tokens_per_ms_or(self, other: f64) -> f64 {
        if self.millis > 0.0 {
            self.tokens / self.millis
        } else {
            other
        }
    }

    /// Returns the rate in tokens per millisecond, or the initial rate without samples.
    pub fn tokens_per_ms(self) -> f64 {
        self.tokens_per_ms_or(INITIAL_TOKENS_PER_MS)
    }
}
