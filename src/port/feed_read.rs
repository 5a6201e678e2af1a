use {
    super::{Change, MemberEntry, RosterEntry},
    crate::{board::Routing, key::StoreRevision},
    serde::{Deserialize, Serialize},
    std::{fmt::Debug, time::Duration},
};

/// Request to another daemon for what it has read from a feed of the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedRead {
    /// Feed to read.
    pub kind: FeedKind,
    /// Revision that the sender has; `None` requests every object.
    pub since: Option<StoreRevision>,
    /// Longest time to wait for a change after `since`.
    pub wait: Duration,
}

/// Kind of the objects of a feed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FeedKind {
    /// The routing configuration.
    Routing,
    /// Endpoints.
    Endpoints,
    /// Daemons.
    Members,
}

/// Reply to a `FeedRead`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FeedReply {
    /// Objects that changed after the requested revision, or every object.
    Objects {
        /// Objects; none if the wait passed without a change.
        objects: FeedObjects,
        /// Revision up to which the sender knows the objects.
        revision: StoreRevision,
        /// Time since a call of the sender to the store last failed; `None` if none did.
        failed_ago: Option<Duration>,
    },
    /// The sender no longer has the changes since the requested revision; request every object.
    Expired,
    /// The objects are too large to be passed on; read them from the store.
    TooLarge,
    /// The sender does not read the store itself at present.
    NotReading,
    /// The sender has lately failed to read the store.
    Outage,
}

/// Objects of one of the feeds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FeedObjects {
    /// Of the feed of the routing configuration.
    Routing(Vec<Change<Routing>>),
    /// Of the feed of endpoints.
    Endpoints(Vec<Change<RosterEntry>>),
    /// Of the feed of daemons.
    Members(Vec<Change<MemberEntry>>),
}

/// Contents of an object that daemons pass on to each other.
pub trait FeedItem: Clone + Debug + PartialEq + Send + Sync + Sized + 'static {
    /// Kind of the feed.
    const KIND: FeedKind;

    /// Puts objects into the reply.
    fn wrap(objects: Vec<Change<Self>>) -> FeedObjects;

    /// Takes the objects out of a reply; `None` if they are of another feed.
    fn unwrap(objects: FeedObjects) -> Option<Vec<Change<Self>>>;

    /// Approximate length of the encoded object in bytes.
    fn encoded_len(&self) -> usize;
}

impl FeedKind {
    /// Name of the feed in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Routing => "routing",
            Self::Endpoints => "endpoints",
            Self::Members => "members",
        }
    }
}

impl FeedItem for Routing {
    const KIND: FeedKind = FeedKind::Routing;

    fn wrap(objects: Vec<Change<Self>>) -> FeedObjects {
        FeedObjects::Routing(objects)
    }

    fn unwrap(objects: FeedObjects) -> Option<Vec<Change<Self>>> {
        match objects {
            FeedObjects::Routing(objects) => Some(objects),
            FeedObjects::Endpoints(_) | FeedObjects::Members(_) => None,
        }
    }

    fn encoded_len(&self) -> usize {
        self.routes.len() * 100 + self.organisations.len() * 200
    }
}

impl FeedItem for RosterEntry {
    const KIND: FeedKind = FeedKind::Endpoints;

    fn wrap(objects: Vec<Change<Self>>) -> FeedObjects {
        FeedObjects::Endpoints(objects)
    }

    fn unwrap(objects: FeedObjects) -> Option<Vec<Change<Self>>> {
        match objects {
            FeedObjects::Endpoints(objects) => Some(objects),
            FeedObjects::Routing(_) | FeedObjects::Members(_) => None,
        }
    }

    fn encoded_len(&self) -> usize {
        100
    }
}

impl FeedItem for MemberEntry {
    const KIND: FeedKind = FeedKind::Members;

    fn wrap(objects: Vec<Change<Self>>) -> FeedObjects {
        FeedObjects::Members(objects)
    }

    fn unwrap(objects: FeedObjects) -> Option<Vec<Change<Self>>> {
        match objects {
            FeedObjects::Members(objects) => Some(objects),
            FeedObjects::Routing(_) | FeedObjects::Endpoints(_) => None,
        }
    }

    fn encoded_len(&self) -> usize {
        80
    }
}
