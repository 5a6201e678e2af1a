use {
    super::{Denial, Grant, GrantAsk, GrantRelease},
    crate::key::AttemptId,
};

/// The lines of one owner; the path of a request is generic over it.
pub trait Line: Clone + Send + Sync + 'static {
    /// Waits for a place. Dropping the future withdraws the request.
    fn acquire(&self, ask: GrantAsk) -> impl Future<Output = Result<Grant, Denial>> + Send;

    /// Gives a grant back.
    fn release(&self, release: GrantRelease);

    /// Withdraws a waiting request, or releases its grant as unused.
    fn withdraw(&self, attempt: AttemptId);
}
