use super::OutputLengths;

/// How fast the generations of a pool go on, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct OutputRates<'a> {
    /// Output tokens of one generation per millisecond.
    pub rate: f64,
    /// How long outputs become.
    pub lengths: &'a OutputLengths,
}
