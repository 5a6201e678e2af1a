use {
    super::{FeedFollower, News},
    crate::{
        board::{Routing, Writer},
        port::{Change, Clock, Feed},
    },
};

/// Writes the `routing` section; a version never gives way to an older one.
#[derive(Debug)]
pub struct RoutingController<F, C> {
    follower: FeedFollower<F, C>,
    writer: Writer<Routing>,
}

impl<F, C> RoutingController<F, C>
where
    F: Feed<Item = Routing>,
    C: Clock,
{
    /// Creates the controller.
    pub fn new(follower: FeedFollower<F, C>, writer: Writer<Routing>) -> Self {
        Self { follower, writer }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        loop {
            let changes = match self.follower.next().await {
                News::All(changes) | News::Some(changes) => changes,
                News::Lost | News::Same => continue,
            };
            for change in changes {
                self.apply(change);
            }
        }
    }

    fn apply(&mut self, change: Change<Routing>) {
        let current = self.writer.load().version;
        let revision = self.follower.revision();
        match change {
            Change::Put(_, next) if next.version > current => {
                let routes = next.routes.len();
                log::info!(version = next.version, before = current, revision, routes; "routing in force");
                self.writer.publish(next);
            }
            Change::Put(_, next) => {
                log::info!(version = next.version, current, revision; "routing is not newer");
            }
            Change::Unreadable(name, why) => {
                log::error!(name = name.as_str(), current, revision; "routing is not usable: {why}");
            }
            Change::Removed(name) => {
                log::warn!(name = name.as_str(), current, revision; "routing was removed; it stays in force");
            }
        }
    }
}
