use {std::time::Duration, thiserror::Error};

/// Objects of one kind that another system keeps and tells the changes of.
pub trait Feed: Clone + Send + Sync + 'static {
    /// What an object says.
    type Item: Send + 'static;

    /// Reads every object, and the revision at which the list is true.
    fn list(&self) -> impl Future<Output = Result<Listing<Self::Item>, FeedError>> + Send;

    /// Waits up to `wait` for changes after `since`.
    fn watch(
        &self,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Self::Item>, FeedError>> + Send;
}

/// Every object at one revision.
#[derive(Clone, Debug)]
pub struct Listing<T> {
    /// Objects.
    pub items: Vec<Change<T>>,
    /// Revision.
    pub revision: u64,
}

/// What changed up to a revision.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// Changes in order.
    pub changes: Vec<Change<T>>,
    /// Revision to continue from.
    pub revision: u64,
}

/// One object as it is now.
#[derive(Clone, Debug)]
pub enum Change<T> {
    /// The object says this.
    Put(String, T),
    /// The object cannot be understood, and why.
    Unreadable(String, String),
    /// The object is gone.
    Removed(String),
}

/// Why a feed told nothing.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FeedError {
    /// Changes since the asked revision are no longer kept; list again.
    #[error("the changes since that revision are no longer kept")]
    Gone,
    /// The other system answered, but not with what was asked for.
    #[error("the store refused: {0}")]
    Refused(String),
    /// No answer.
    #[error("the store does not answer: {0}")]
    Unreachable(String),
}
