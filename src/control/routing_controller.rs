use {
    super::{FeedFollower, FeedUpdate},
    crate::{
        board::{Counters, Routing, Writer},
        port::{Change, Clock, Feed},
    },
};

/// Maximum number of faults in one log line.
const MAX_LOGGED_FAULTS: usize = 8;

/// Writes the `routing` section from a feed; a version is never replaced by an older one.
#[derive(Debug)]
pub struct RoutingController<F, C>
where
    F: Feed,
{
    follower: FeedFollower<F, C>,
    writer: Writer<Routing>,
    counters: Counters,
}

impl<F, C> RoutingController<F, C>
where
    F: Feed<Item = Routing>,
    C: Clock,
{
    /// Creates the controller; `follower` reads the routing.
    pub fn new(follower: FeedFollower<F, C>, writer: Writer<Routing>, counters: Counters) -> Self {
        Self {
            follower,
            writer,
            counters,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let changes = match self.follower.next().await {
                FeedUpdate::Listing(changes) | FeedUpdate::Changes(changes) => changes,
                FeedUpdate::Unavailable | FeedUpdate::Unchanged => continue,
            };
            for change in changes {
                self.apply(change);
            }
        }
    }

    /// Publishes the routing if it is newer, and logs what was done.
    fn apply(&mut self, change: Change<Routing>) {
        let current = self.writer.load().version;
        let revision = self.follower.revision().number;
        match change {
            Change::Put(_, next) if next.version > current => {
                let routes = next.routes.len();
                let organisations = next.organisations.len();
                log::info!(version = next.version, before = current, revision, routes, organisations; "routing in force");
                self.report_faults(&next);
                self.writer.publish(next);
            }
            Change::Put(_, next) => {
                log::info!(version = next.version, current, revision; "routing ignored: its version is not newer than the current one");
            }
            Change::Unreadable(name, reason) => {
                log::error!(name = name.as_str(), current, revision; "routing is not usable, the current one stays in force: {reason}");
            }
            Change::Removed(name) => {
                log::warn!(name = name.as_str(), current, revision; "routing removed from the store; the current one stays in force");
            }
        }
    }

    /// Counts what is wrong with the organisations of `routing`, and logs the first faults in one line.
    fn report_faults(&self, routing: &Routing) {
        for fault in &routing.faults {
            self.counters.count_organisation_fault(fault);
        }
        let faults = routing.faults.len();
        if faults > 0 {
            let first = routing.faults.iter().take(MAX_LOGGED_FAULTS);
            let first: Vec<_> = first.map(ToString::to_string).collect();
            log::warn!(version = routing.version, faults; "organisations are not configured correctly: {}", first.join("; "));
        }
    }
}
