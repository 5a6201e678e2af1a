use {
    super::{
        FeedFollower, FeedUpdate,
        roster_entries::{RosterEntries, RosterRead},
    },
    crate::{
        board::{Fleet, Tick, Writer},
        decide::merge_described,
        port::{Clock, Feed, RosterEntry},
    },
    std::time::Duration,
    tokio::sync::watch,
};

/// Time after an outage of the store within which a live endpoint registers again.
const ENDPOINT_RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Time after the store came back from a copy within which the entries of processes that have ended since
/// the copy expire.
const OLD_ENTRY_TIME: Duration = Duration::from_secs(5);

/// Writes the `fleet` section from a feed in which endpoints register themselves.
#[derive(Debug)]
pub struct RosterController<F, C>
where
    F: Feed,
{
    follower: FeedFollower<F, C>,
    clock: C,
    writer: Writer<Fleet>,
    entries: RosterEntries,
    reachable: watch::Sender<bool>,
}

impl<F, C> RosterController<F, C>
where
    F: Feed<Item = RosterEntry>,
    C: Clock,
{
    /// Creates the controller; `reachable` is set to whether the store responds.
    pub fn new(
        follower: FeedFollower<F, C>,
        clock: C,
        writer: Writer<Fleet>,
        reachable: watch::Sender<bool>,
    ) -> Self {
        Self {
            follower,
            clock,
            writer,
            entries: RosterEntries::default(),
            reachable,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let due = self.entries.next_due();
            let wait = due.map_or(Duration::MAX, |due| due - self.clock.now());
            let update = tokio::select! {
                update = self.follower.next() => update,
                () = self.clock.sleep(wait) => FeedUpdate::Unchanged,
            };
            let reachable = !matches!(update, FeedUpdate::Unavailable);
            self.reachable
                .send_if_modified(|old| std::mem::replace(old, reachable) != reachable);
            let read = self.read();
            match update {
                FeedUpdate::Listing(items) => self.entries.replace(items, read),
                FeedUpdate::Changes(changes) => {
                    for change in changes {
                        self.entries.apply(change, read);
                    }
                }
                FeedUpdate::Unavailable | FeedUpdate::Unchanged => {}
            }
            self.entries.expire(read);
            self.publish();
        }
    }

    /// Returns what the last read means for entries that are missing or old.
    fn read(&self) -> RosterRead {
        let now = self.clock.now();
        let later = |since: Option<Tick>, time| {
            let until = since.map(|since| since + time);
            until.filter(|until| *until > now)
        };
        let restored = self.follower.restored();
        let ended = self.follower.outage_end().max(restored);
        RosterRead {
            now,
            revision: self.follower.revision().number,
            keep_until: later(ended, ENDPOINT_RETURN_TIME),
            doubt_until: later(restored, OLD_ENTRY_TIME),
        }
    }

    /// Publishes the fleet if it has changed.
    fn publish(&mut self) {
        let described = self.entries.described();
        let described: Vec<_> = described.iter().map(|(l, d)| (l, *d)).collect();
        let mut next = Fleet::clone(&self.writer.load());
        if merge_described(&mut next, &described) {
            self.writer.publish(next);
        }
    }
}
