//! What a feed log records, and what of it another daemon gets.

use {
    crate::{
        board::{FeedLog, LoggedObject, ObjectState},
        key::StoreRevision,
        port::Change,
    },
    std::sync::Arc,
};

/// Largest number of removed objects that a log keeps; a reader that lacks an older removal reads
/// every object.
const MAX_REMOVED: usize = 1_000;

/// Records a complete list of the objects, valid at `revision`.
///
/// Changes before the list are unknown: an object that looks the same may have changed and changed
/// back meanwhile. So a daemon that has an older revision must read every object.
pub fn record_listing<T>(log: &mut FeedLog<T>, items: &[Change<T>], revision: StoreRevision)
where
    T: Clone + PartialEq,
{
    log.objects.clear();
    log.floor = revision;
    record_changes(log, items, revision);
}

/// Records changes of objects up to `revision`.
pub fn record_changes<T>(log: &mut FeedLog<T>, changes: &[Change<T>], revision: StoreRevision)
where
    T: Clone + PartialEq,
{
    for change in changes {
        let state = match change {
            Change::Put(_, item) => ObjectState::Present(Arc::new(item.clone())),
            Change::Unreadable(_, reason) => ObjectState::Unreadable(reason.clone()),
            Change::Removed(_) => ObjectState::Removed,
        };
        let known = log.objects.get(change.name());
        if known.is_none_or(|known| known.state != state) {
            let object = LoggedObject { revision, state };
            log.objects.insert(change.name().to_owned(), object);
        }
    }
    log.revision = revision;
    forget_removed(log);
}

/// Returns the objects of `log` that changed after the revision `since`, or every object for
/// `since` = `None`.
///
/// Returns `None` if the log no longer has all changes since then.
pub fn changes_since<T>(log: &FeedLog<T>, since: Option<StoreRevision>) -> Option<Vec<Change<T>>>
where
    T: Clone,
{
    if since.is_some_and(|since| since < log.floor) {
        return None;
    }
    let changed = log.objects.iter().filter(|(_, object)| match since {
        Some(since) => object.revision > since,
        None => !is_removed(object),
    });
    Some(
        changed
            .map(|(name, object)| to_change(name, object))
            .collect(),
    )
}

fn to_change<T>(name: &str, object: &LoggedObject<T>) -> Change<T>
where
    T: Clone,
{
    let name = name.to_owned();
    match &object.state {
        ObjectState::Present(item) => Change::Put(name, T::clone(item)),
        ObjectState::Unreadable(reason) => Change::Unreadable(name, reason.clone()),
        ObjectState::Removed => Change::Removed(name),
    }
}

/// Drops the oldest removed objects beyond `MAX_REMOVED` and raises the floor accordingly.
fn forget_removed<T>(log: &mut FeedLog<T>) {
    let removed = log.objects.values().filter(|object| is_removed(object));
    let mut revisions: Vec<_> = removed.map(|object| object.revision).collect();
    if revisions.len() <= MAX_REMOVED {
        return;
    }
    revisions.sort_unstable();
    let floor = revisions[revisions.len() - MAX_REMOVED - 1];
    log.floor = log.floor.max(floor);
    log.objects
        .retain(|_, object| !is_removed(object) || object.revision > floor);
}

fn is_removed<T>(object: &LoggedObject<T>) -> bool {
    matches!(object.state, ObjectState::Removed)
}
