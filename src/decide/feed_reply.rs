use {
    super::changes_since,
    crate::{
        board::FeedLog,
        key::StoreRevision,
        port::{Change, FeedItem, FeedReply},
    },
    std::time::Duration,
};

/// Largest approximate length of the objects of one reply, in bytes. Larger ones are read from the
/// store, whose link is wider than that of a host with dozens of readers.
const MAX_REPLY_BYTES: usize = 128 << 10;

/// Time after a failed read of the store for which an outage is reported.
const OUTAGE_TIME: Duration = Duration::from_secs(4);

/// What another daemon asked for, and when.
#[derive(Clone, Copy, Debug)]
pub struct FeedQuestion {
    /// Revision that it has; `None` if it requests every object.
    pub since: Option<StoreRevision>,
    /// Whether its wait is over.
    pub waited: bool,
    /// Time since the boot of this host.
    pub now: Duration,
    /// Time since a read of the store last failed; `None` if none did.
    pub failed_ago: Option<Duration>,
}

/// Returns the reply to a daemon that reads from `log`; `None` while it has to wait for a change.
///
/// Only a daemon whose own reads reach the store answers, and only for as long as one of them
/// vouches for the log. So no two daemons can rely on each other, and one that was suspended says
/// nothing from before. Daemons may reach different revisions with the same objects, since the
/// store's revision also counts other objects; a log with a smaller one is not behind, unless it is
/// of an earlier era of the store.
pub fn feed_reply<T>(log: &FeedLog<T>, question: FeedQuestion) -> Option<FeedReply>
where
    T: FeedItem,
{
    if let Some(reply) = unusable_reply(log, question) {
        return Some(reply);
    }
    let Some(objects) = changes_since(log, question.since) else {
        return Some(FeedReply::Expired);
    };
    if objects.is_empty() && question.since.is_some() && !question.waited {
        return None;
    }
    if is_reply_too_large(&objects) {
        return Some(FeedReply::TooLarge);
    }
    Some(FeedReply::Objects {
        objects: T::wrap(objects),
        revision: log.revision,
        failed_ago: question.failed_ago,
    })
}

/// Returns the reply of a daemon whose log other daemons are not to rely on; `None` if they may.
pub(super) fn unusable_reply<T>(log: &FeedLog<T>, question: FeedQuestion) -> Option<FeedReply> {
    let lost_history = question
        .since
        .is_some_and(|since| since.era > log.revision.era);
    if log.direct && question.now < log.valid_until && !lost_history {
        return None;
    }
    let failed = question.failed_ago.is_some_and(|ago| ago < OUTAGE_TIME);
    Some(if failed {
        FeedReply::Outage
    } else {
        FeedReply::NotReading
    })
}

/// Returns whether these objects are too large for one reply.
pub(super) fn is_reply_too_large<T>(objects: &[Change<T>]) -> bool
where
    T: FeedItem,
{
    objects.iter().map(encoded_len).sum::<usize>() > MAX_REPLY_BYTES
}

fn encoded_len<T>(change: &Change<T>) -> usize
where
    T: FeedItem,
{
    match change {
        Change::Put(name, item) => name.len() + item.encoded_len(),
        Change::Unreadable(name, reason) => name.len() + reason.len(),
        Change::Removed(name) => name.len(),
    }
}
