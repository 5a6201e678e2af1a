//! What two daemons exchange instead of a complete list of a feed: digests of the parts of one list, and
//! the objects of the parts in which the other one differs.

use {
    super::feed_reply::{FeedQuestion, is_reply_too_large, unusable_reply},
    crate::{
        board::{FeedLog, LoggedObject, ObjectState},
        key::name_hash,
        port::{Change, FeedItem, FeedReply},
    },
    std::{
        collections::BTreeSet,
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// Smallest number of objects that are compared; a shorter list is hardly longer than a comparison.
const MIN_OBJECTS: usize = 64;

/// Objects of a part, on average. More make the digests shorter, and what one change costs longer.
const OBJECTS_PER_PART: usize = 16;

/// Largest number of parts; their digests have 2 KiB.
const MAX_PARTS: usize = 256;

/// Returns the digests of the parts of the list in `log`, in order; `None` if it is too short, or its
/// objects are not compared.
///
/// An object belongs to the part that its name selects, so both sides divide their lists alike.
pub fn feed_digests<T>(log: &FeedLog<T>) -> Option<Vec<u64>>
where
    T: FeedItem,
{
    let present = present(log).count();
    if present < MIN_OBJECTS {
        return None;
    }
    digests(log, (present / OBJECTS_PER_PART).min(MAX_PARTS))
}

/// Returns the reply to a daemon whose list has these digests: the objects of each part that differs.
///
/// `Expired` tells it to request every object.
pub fn compare_reply<T>(log: &FeedLog<T>, known: &[u64], question: FeedQuestion) -> FeedReply
where
    T: FeedItem,
{
    if let Some(reply) = unusable_reply(log, question) {
        return reply;
    }
    if known.is_empty() || known.len() > MAX_PARTS {
        return FeedReply::Expired;
    }
    let Some(own) = digests(log, known.len()) else {
        return FeedReply::Expired;
    };
    let parts: BTreeSet<_> = own
        .iter()
        .zip(known)
        .enumerate()
        .filter(|(_, (own, known))| own != known)
        .map(|(part, _)| part as u32)
        .collect();
    let objects = present(log).filter(|(name, _)| parts.contains(&part_of(name, known.len())));
    let objects: Vec<_> = objects
        .filter_map(|(name, object)| to_change(name, object))
        .collect();
    if is_reply_too_large(&objects) {
        return FeedReply::TooLarge;
    }
    FeedReply::Difference {
        parts: parts.into_iter().collect(),
        objects: T::wrap(objects),
        revision: log.revision,
        failed_ago: question.failed_ago,
    }
}

/// Returns the complete list of the daemon that replied: the objects of `log`, of whose `count` parts those
/// in `parts` are replaced by `objects`.
pub fn merge_difference<T>(
    log: &FeedLog<T>,
    count: usize,
    parts: &[u32],
    objects: Vec<Change<T>>,
) -> Vec<Change<T>>
where
    T: FeedItem,
{
    let parts: BTreeSet<_> = parts.iter().collect();
    let same = present(log).filter(|(name, _)| !parts.contains(&part_of(name, count)));
    let mut list: Vec<_> = same
        .filter_map(|(name, object)| to_change(name, object))
        .collect();
    list.extend(objects);
    list
}

/// Returns the digests of `parts` parts; `None` if the objects are not compared.
fn digests<T>(log: &FeedLog<T>, parts: usize) -> Option<Vec<u64>>
where
    T: FeedItem,
{
    let mut digests = vec![0_u64; parts];
    for (name, object) in present(log) {
        let part = part_of(name, parts) as usize;
        // A sum does not depend on the order, and shows an object that occurs in one list only.
        digests[part] = digests[part].wrapping_add(digest(name, object)?);
    }
    Some(digests)
}

/// Returns the digest of one object; `None` if the objects of the feed are not compared.
fn digest<T>(name: &str, object: &LoggedObject<T>) -> Option<u64>
where
    T: FeedItem,
{
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    match &object.state {
        ObjectState::Present(item) => item.digest()?.hash(&mut hasher),
        ObjectState::Unreadable(reason) => reason.hash(&mut hasher),
        ObjectState::Removed => {}
    }
    Some(hasher.finish())
}

fn present<T>(log: &FeedLog<T>) -> impl Iterator<Item = (&str, &LoggedObject<T>)> {
    let objects = log
        .objects
        .iter()
        .map(|(name, object)| (name.as_str(), object));
    objects.filter(|(_, object)| !matches!(object.state, ObjectState::Removed))
}

fn part_of(name: &str, parts: usize) -> u32 {
    (name_hash(name) % parts.max(1) as u64) as u32
}

fn to_change<T>(name: &str, object: &LoggedObject<T>) -> Option<Change<T>>
where
    T: Clone,
{
    let name = name.to_owned();
    match &object.state {
        ObjectState::Present(item) => Some(Change::Put(name, T::clone(item))),
        ObjectState::Unreadable(reason) => Some(Change::Unreadable(name, reason.clone())),
        ObjectState::Removed => None,
    }
}
