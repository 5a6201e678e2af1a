use {
    super::{Denial, Grant, GrantRelease, GrantRequest},
    crate::key::AttemptId,
};

/// The queues of one owner, in which requests for grants wait; the request path is generic over it.
pub trait GrantQueue: Clone + Send + Sync + 'static {
    /// Waits for a grant. Dropping the future withdraws the request.
    fn acquire(&self, request: GrantRequest) -> impl Future<Output = Result<Grant, Denial>> + Send;

    /// Releases a grant.
    fn release(&self, release: GrantRelease);

    /// Withdraws a waiting request; if it was already granted, releases the grant as unused.
    fn withdraw(&self, attempt: AttemptId);
}
