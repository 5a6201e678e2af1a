use {
    super::{FeedFollower, FeedUpdate},
    crate::{
        board::{Routing, Writer},
        port::{Change, Clock, Feed},
    },
};

/// Writes the `routing` section from a feed; a version is never replaced by an older one.
#[derive(Debug)]
pub struct RoutingController<F, C>
where
    F: Feed,
{
    follower: FeedFollower<F, C>,
    writer: Writer<Routing>,
}

impl<F, C> RoutingController<F, C>
where
    F: Feed<Item = Routing>,
    C: Clock,
{
    /// Creates the controller; `follower` reads the routing.
    pub fn new(follower: FeedFollower<F, C>, writer: Writer<Routing>) -> Self {
        Self { follower, writer }
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
                log::info!(version = next.version, before = current, revision, routes; "routing in force");
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
}
