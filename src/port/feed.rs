use {
    crate::key::StoreRevision,
    serde::{Deserialize, Serialize},
    std::{fmt::Debug, time::Duration},
    thiserror::Error,
};

/// Source of all objects of one kind in another system's store, and of their changes.
pub trait Feed: Clone + Send + Sync + 'static {
    /// Contents of an object.
    type Item: Clone + Debug + PartialEq + Send + Sync + 'static;

    /// Reads every object, and the revision at which the list was valid.
    fn list(
        &self,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Listing<Self::Item>, FeedError>> + Send;

    /// Waits up to `wait` for changes after the revision `since`.
    ///
    /// Returns no changes if there were none in that time. Fails with `FeedError::HistoryExpired`
    /// if the changes after `since` are no longer stored.
    fn watch(
        &self,
        since: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Self::Item>, FeedError>> + Send;

    /// Returns the wait of the next watch, at most `longest`. Until it has passed, a source that
    /// went silent looks like one without changes.
    fn watch_wait(&self, longest: Duration) -> Duration {
        longest
    }

    /// Returns how many blocks of 64 KiB and pages of lists have been received so far, by which a list
    /// that is still being received differs from one whose source has gone silent.
    fn list_progress(&self) -> u64 {
        0
    }
}

/// How fresh a list must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It holds every change made before the call.
    Latest,
    /// It may be some seconds old, which is cheaper; a watch from its revision returns the rest.
    Recent,
}

/// Every object, at one revision.
#[derive(Clone, Debug)]
pub struct Listing<T> {
    /// Objects, each as a `Put` or an `Unreadable`.
    pub items: Vec<Change<T>>,
    /// Revision at which the list was valid.
    pub revision: StoreRevision,
    /// Who returned the list.
    pub origin: FeedOrigin,
}

/// Changes of objects up to a revision.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// Changes, oldest first.
    pub changes: Vec<Change<T>>,
    /// Revision to pass to the next `watch`.
    pub revision: StoreRevision,
    /// Who returned the changes.
    pub origin: FeedOrigin,
}

/// Who returned the result of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedOrigin {
    /// The store itself.
    Store,
    /// Another daemon, which reads the store.
    Peer {
        /// Time since a call of that daemon to the store last failed; `None` if none did.
        failed_ago: Option<Duration>,
    },
}

/// State of one object; the first field is its name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change<T> {
    /// The object exists and has these contents.
    Put(String, T),
    /// The object cannot be decoded; the second field says why.
    Unreadable(String, String),
    /// The object was removed.
    Removed(String),
}

impl<T> Change<T> {
    /// Returns the name of the object.
    pub fn name(&self) -> &str {
        match self {
            Self::Put(name, _) | Self::Unreadable(name, _) | Self::Removed(name) => name,
        }
    }
}

/// The error of a call to a feed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FeedError {
    /// The changes after the requested revision are no longer stored, or belong to a lost history; list
    /// again.
    #[error("the changes since the requested revision are no longer stored; list again")]
    HistoryExpired,
    /// The changes so far came from another source; list again.
    #[error("the feed is read from another source now; list again")]
    SourceChanged,
    /// No call to the other system was made: the daemons that read it do not at present, and this one
    /// has called it a moment ago.
    #[error("no daemon of the zone reads the store at present")]
    NoSource,
    /// The other system responded with an error or with something that cannot be used.
    #[error("unusable response from the store: {0}")]
    Refused(String),
    /// The other system did not respond.
    #[error("the store does not respond: {0}")]
    Unreachable(String),
    /// The other system did not respond within the time limit.
    #[error("the store does not respond: no response within the time limit")]
    TimedOut,
}
