use {std::time::Duration, thiserror::Error};

/// Source of all objects of one kind in another system's store, and of their changes.
pub trait Feed: Clone + Send + Sync + 'static {
    /// Contents of an object.
    type Item: Send + 'static;

    /// Reads every object, and the revision at which the list was valid.
    fn list(&self) -> impl Future<Output = Result<Listing<Self::Item>, FeedError>> + Send;

    /// Waits up to `wait` for changes after the revision `since`.
    ///
    /// Returns no changes if there were none in that time. Fails with `FeedError::HistoryExpired`
    /// if the changes after `since` are no longer stored.
    fn watch(
        &self,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Self::Item>, FeedError>> + Send;
}

/// Every object, at one revision.
#[derive(Clone, Debug)]
pub struct Listing<T> {
    /// Objects, each as a `Put` or an `Unreadable`.
    pub items: Vec<Change<T>>,
    /// Revision at which the list was valid.
    pub revision: u64,
}

/// Changes of objects up to a revision.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// Changes, oldest first.
    pub changes: Vec<Change<T>>,
    /// Revision to pass to the next `watch`.
    pub revision: u64,
}

/// State of one object; the first field is its name.
#[derive(Clone, Debug)]
pub enum Change<T> {
    /// The object exists and has these contents.
    Put(String, T),
    /// The object cannot be decoded; the second field says why.
    Unreadable(String, String),
    /// The object was removed.
    Removed(String),
}

/// The error of a call to a feed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FeedError {
    /// The changes after the requested revision are no longer stored; list again.
    #[error("the changes since the requested revision are no longer stored; list again")]
    HistoryExpired,
    /// The other system responded with an error or with something that cannot be used.
    #[error("unusable response from the store: {0}")]
    Refused(String),
    /// The other system did not respond.
    #[error("the store does not respond: {0}")]
    Unreachable(String),
}
