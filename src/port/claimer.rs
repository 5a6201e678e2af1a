use super::{ClaimAsk, ClaimOutcome};

/// Records claims of at-most-once requests; the path of a request is generic over it.
pub trait Claimer: Clone + Send + Sync + 'static {
    /// Takes or finishes a claim.
    fn ask(&self, ask: ClaimAsk) -> impl Future<Output = ClaimOutcome> + Send;
}
