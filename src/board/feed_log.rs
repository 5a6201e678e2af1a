use {
    super::Tick,
    crate::key::StoreRevision,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Objects of a feed of the store as this daemon last read them, from which other daemons read.
#[derive(Clone, Debug)]
pub struct FeedLog<T> {
    /// Revision up to which the objects are known; 0 before the first list.
    pub revision: StoreRevision,
    /// Oldest revision since which every change is known.
    pub floor: StoreRevision,
    /// Whether the last read reached the store itself, so that other daemons may rely on the log.
    pub direct: bool,
    /// Time since the boot of the host until which the last read vouches for the log; time in which
    /// the host was suspended counts.
    pub valid_until: Duration,
    /// Latest time at which the store is known not to have answered this daemon; `None` if it always did.
    pub failed: Option<Tick>,
    /// Objects by name, removed ones included.
    pub objects: BTreeMap<String, LoggedObject<T>>,
}

/// State of an object in a feed log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoggedObject<T> {
    /// Revision at which the daemon learned of this state; never below that of the change itself.
    pub revision: StoreRevision,
    /// Contents, or why there are none.
    pub state: ObjectState<T>,
}

/// Contents of an object, or why there are none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ObjectState<T> {
    /// The object exists and has these contents.
    Present(Arc<T>),
    /// The object cannot be decoded, for this reason.
    Unreadable(String),
    /// The object was removed.
    Removed,
}

impl<T> Default for FeedLog<T> {
    fn default() -> Self {
        Self {
            revision: StoreRevision::default(),
            floor: StoreRevision::default(),
            direct: false,
            valid_until: Duration::ZERO,
            failed: None,
            objects: BTreeMap::new(),
        }
    }
}
