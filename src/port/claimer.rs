use super::{ClaimOutcome, ClaimRequest};

/// Records the claims (idempotency records) of at-most-once requests; the request path is generic
/// over it.
pub trait Claimer: Clone + Send + Sync + 'static {
    /// Takes or finishes a claim, as `request` says, and returns the outcome.
    fn submit(&self, request: ClaimRequest) -> impl Future<Output = ClaimOutcome> + Send;
}
