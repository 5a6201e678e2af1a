use std::time::Duration;

/// Weight that earlier samples keep when a new one is added.
const HISTORY_RATIO: f64 = 0.96;

/// Largest factor between a sample and the prediction; samples beyond it are clamped.
const MAX_DEVIATION_RATIO: f64 = 4.0;

/// Service time of one endpoint as a linear function `intercept + slope * size`, fitted to samples.
///
/// `size` is the number of prompt tokens for a prefill and the batch size for a decode. The fit is
/// a least-squares line over exponentially weighted samples and a prior. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ServiceFit {
    /// Sum of the weights.
    weight: f64,
    /// Weighted sum of the sizes.
    size: f64,
    /// Weighted sum of the times.
    time: f64,
    /// Weighted sum of the squares of the sizes.
    square: f64,
    /// Weighted sum of the products of size and time.
    product: f64,
}

impl ServiceFit {
    /// Creates a fit from a prior of two samples, each a size and its time.
    pub fn new(low: (f64, Duration), high: (f64, Duration)) -> Self {
        let mut fit = Self {
            weight: 0.0,
            size: 0.0,
            time: 0.0,
            square: 0.0,
            product: 0.0,
        };
        fit.add(low.0, low.1.as_secs_f64());
        fit.add(high.0, high.1.as_secs_f64());
        fit
    }

    /// Creates the prior of a prefill: 10 ms plus 100 microseconds per token.
    pub fn prefill() -> Self {
        let base = Duration::from_millis(10);
        let long = base + Duration::from_millis(400);
        Self::new((0.0, base), (4000.0, long))
    }

    /// Creates the prior of the time between output tokens: 20 ms at batch size 0, 32 ms in a batch
    /// of 20.
    pub fn decode() -> Self {
        let base = Duration::from_millis(20);
        let full = Duration::from_millis(32);
        Self::new((0.0, base), (20.0, full))
    }

    /// Creates the prior of a service call: 10 ms.
    pub fn service() -> Self {
        let call = Duration::from_millis(10);
        Self::new((0.0, call), (1.0, call))
    }

    /// Adds a measured sample. It is clamped to a range around the prediction, so that a single wrong
    /// report has little effect.
    pub fn add_sample(&mut self, size: f64, time: Duration) {
        let expected = self.predict(size).as_secs_f64();
        let clamped = time.as_secs_f64().clamp(
            expected / MAX_DEVIATION_RATIO,
            expected * MAX_DEVIATION_RATIO,
        );
        self.add(size, clamped);
    }

    /// Returns the predicted time for `size`.
    pub fn predict(&self, size: f64) -> Duration {
        let spread = self.weight * self.square - self.size * self.size;
        let slope = if spread > f64::EPSILON {
            ((self.weight * self.product - self.size * self.time) / spread).max(0.0)
        } else {
            0.0
        };
        let intercept = ((self.time - slope * self.size) / self.weight).max(0.0);
        Duration::from_secs_f64(intercept + slope * size)
    }

    /// Adds a sample of `time` seconds and decays the earlier ones.
    fn add(&mut self, size: f64, time: f64) {
        self.weight = self.weight * HISTORY_RATIO + 1.0;
        self.size = self.size * HISTORY_RATIO + size;
        self.time = self.time * HISTORY_RATIO + time;
        self.square = self.square * HISTORY_RATIO + size * size;
        self.product = self.product * HISTORY_RATIO + size * time;
    }
}
