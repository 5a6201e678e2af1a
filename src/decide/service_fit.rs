use std::time::Duration;

/// Weight that remains of each earlier sample when a new one is added.
const MEMORY: f64 = 0.96;

/// Greatest factor between a sample and the prediction; what lies beyond is cut to it.
const TRUST: f64 = 4.0;

/// Service time of one endpoint as a line `start + slope * size`, learned from samples.
///
/// `size` is the number of prompt tokens for a prefill and the batch size for a decode. The fit is
/// a least-squares line over exponentially weighted samples around a prior.
#[derive(Clone, Copy, Debug)]
pub struct ServiceFit {
    weight: f64,
    size: f64,
    time: f64,
    square: f64,
    product: f64,
}

impl ServiceFit {
    /// Starts from a prior of two weak samples at sizes `low` and `high`.
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

    /// Prior of a prefill: 10 ms and 100 microseconds a token.
    pub fn prefill() -> Self {
        let base = Duration::from_millis(10);
        let long = base + Duration::from_millis(400);
        Self::new((0.0, base), (4000.0, long))
    }

    /// Prior of the time between tokens: 20 ms alone, 32 ms in a batch of 20.
    pub fn decode() -> Self {
        let alone = Duration::from_millis(20);
        let full = Duration::from_millis(32);
        Self::new((0.0, alone), (20.0, full))
    }

    /// Prior of a service call: 10 ms.
    pub fn service() -> Self {
        let call = Duration::from_millis(10);
        Self::new((0.0, call), (1.0, call))
    }

    /// Adds a sample; one far from the prediction is cut, so that a single lie moves little.
    pub fn learn(&mut self, size: f64, time: Duration) {
        let expected = self.predict(size).as_secs_f64();
        let cut = time.as_secs_f64().clamp(expected / TRUST, expected * TRUST);
        self.add(size, cut);
    }

    /// Predicts the time for `size`.
    pub fn predict(&self, size: f64) -> Duration {
        let spread = self.weight * self.square - self.size * self.size;
        let slope = if spread > f64::EPSILON {
            ((self.weight * self.product - self.size * self.time) / spread).max(0.0)
        } else {
            0.0
        };
        let start = ((self.time - slope * self.size) / self.weight).max(0.0);
        Duration::from_secs_f64(start + slope * size)
    }

    /// Adds a weighted sample of `time` seconds.
    fn add(&mut self, size: f64, time: f64) {
        self.weight = self.weight * MEMORY + 1.0;
        self.size = self.size * MEMORY + size;
        self.time = self.time * MEMORY + time;
        self.square = self.square * MEMORY + size * size;
        self.product = self.product * MEMORY + size * time;
    }
}
