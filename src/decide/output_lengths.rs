/// Number of classes into which output lengths are divided.
const CLASSES: usize = 40;

/// Longest output, as a multiple of the expected length; longer ones are not told apart.
pub const MAX_OUTPUT_RATIO: f64 = 2.0;

/// Number of ended generations that the assumption before the first one counts for.
const INITIAL_WEIGHT: f64 = 20.0;

/// Weight that earlier generations keep when a new one is recorded.
const HISTORY_RATIO: f64 = 0.995;

/// Share of generations that are assumed to run on at any length.
const MIN_SHARE: f64 = 1e-3;

/// How long the outputs of a pool are, as multiples of the expected length.
///
/// Before the first generation has ended, all lengths up to twice the expected one are taken to be
/// equally likely.
#[derive(Clone, Debug)]
pub struct OutputLengths {
    weights: [f64; CLASSES],
    /// Share of generations that reach the lower end of each class.
    shares: [f64; CLASSES + 1],
}

impl Default for OutputLengths {
    fn default() -> Self {
        let mut lengths = Self {
            weights: [INITIAL_WEIGHT / CLASSES as f64; CLASSES],
            shares: [0.0; CLASSES + 1],
        };
        lengths.update_shares();
        lengths
    }
}

impl OutputLengths {
    /// Records an output that was `ratio` times as long as expected.
    pub fn record(&mut self, ratio: f64) {
        if !ratio.is_finite() {
            return;
        }
        let class = (ratio.max(0.0) / MAX_OUTPUT_RATIO * CLASSES as f64) as usize;
        for weight in &mut self.weights {
            *weight *= HISTORY_RATIO;
        }
        self.weights[class.min(CLASSES - 1)] += 1.0;
        self.update_shares();
    }

    /// Returns the share of generations that reach `ratio` times the expected length; never zero.
    pub fn share(&self, ratio: f64) -> f64 {
        let place = (ratio.max(0.0) / MAX_OUTPUT_RATIO * CLASSES as f64).min(CLASSES as f64);
        let class = (place as usize).min(CLASSES - 1);
        let (low, high) = (self.shares[class], self.shares[class + 1]);
        (low + (high - low) * (place - class as f64)).max(MIN_SHARE)
    }

    fn update_shares(&mut self) {
        let total: f64 = self.weights.iter().sum();
        let mut left = total;
        for (share, weight) in self.shares.iter_mut().zip(self.weights) {
            *share = left / total;
            left -= weight;
        }
    }
}
