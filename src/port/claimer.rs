use super::{ClaimOutcome, ClaimRequest};

/// Records the claims (idempotency records) of at-most-once requests; the request path is generic
/// over it.
pub trait Claimer: Clone + Send + Sync + 'static {
    /// Takes or finishes a claim, as `ask` says, and returns the outcome.
    fn ask(&self, ask: ClaimRequest) -> impl Future<Output = ClaimOutcome> + Send;
}
