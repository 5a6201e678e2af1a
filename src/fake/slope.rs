use serde::Serialize;

/// Straight line fitted to measured points.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Slope {
    /// Value at 0.
    pub base: f64,
    /// Increase of the value per unit of x.
    pub slope: f64,
    /// Coefficient of determination: the share of the variance that the line explains, from 0 to 1.
    pub fit: f64,
}

impl Slope {
    /// Fits a line by least squares; `None` with fewer than three points or if all x are equal.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let sum_of = |f: fn(f64, f64) -> f64| -> f64 {
            let parts = points.iter().map(|p| f(p.0 - mean_x, p.1 - mean_y));
            parts.sum()
        };
        let xx = sum_of(|x, _| x * x);
        let xy = sum_of(|x, y| x * y);
        let yy = sum_of(|_, y| y * y);
        if xx == 0.0 {
            return None;
        }
        let slope = xy / xx;
        Some(Self {
            base: mean_y - slope * mean_x,
            slope,
            fit: if yy == 0.0 { 1.0 } else { slope * xy / yy },
        })
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
