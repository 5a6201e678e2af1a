use {
    crate::{
        board::{FeedLog, Routing, Section},
        decide::{FeedQuestion, compare_reply, feed_reply},
        port::{
            Clock, FeedCompare, FeedItem, FeedKind, FeedRead, FeedReply, MemberEntry, RosterEntry,
        },
    },
    std::time::Duration,
};

/// Longest time for which a reply waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Lets other daemons read what this one has read from the feeds of the store.
#[derive(Clone, Debug)]
pub struct FeedRelay<C> {
    /// Source of time and sleep.
    pub clock: C,
    /// Objects of the feed of the routing configuration.
    pub routing: Section<FeedLog<Routing>>,
    /// Objects of the feed of endpoints.
    pub endpoints: Section<FeedLog<RosterEntry>>,
    /// Objects of the feed of daemons.
    pub members: Section<FeedLog<MemberEntry>>,
}

impl<C> FeedRelay<C>
where
    C: Clock,
{
    /// Replies to a read; waits for a change at most as long as it asks for.
    pub async fn handle(&self, read: FeedRead) -> FeedReply {
        match read.kind {
            FeedKind::Routing => self.reply(self.routing.clone(), read).await,
            FeedKind::Endpoints => self.reply(self.endpoints.clone(), read).await,
            FeedKind::Members => self.reply(self.members.clone(), read).await,
        }
    }

    /// Replies with what differs from the list of another daemon.
    pub fn compare(&self, compare: &FeedCompare) -> FeedReply {
        match compare.kind {
            FeedKind::Routing => self.difference(&self.routing, compare),
            FeedKind::Endpoints => self.difference(&self.endpoints, compare),
            FeedKind::Members => self.difference(&self.members, compare),
        }
    }

    fn difference<T>(&self, log: &Section<FeedLog<T>>, compare: &FeedCompare) -> FeedReply
    where
        T: FeedItem,
    {
        if !log.is_open() {
            return FeedReply::NotReading;
        }
        let current = log.snapshot();
        let now = self.clock.now();
        let question = FeedQuestion {
            since: None,
            waited: true,
            now: self.clock.since_boot(),
            failed_ago: current.failed.map(|failed| now - failed),
        };
        compare_reply(&current, &compare.digests, question)
    }

    async fn reply<T>(&self, mut log: Section<FeedLog<T>>, read: FeedRead) -> FeedReply
    where
        T: FeedItem,
    {
        let deadline = self.clock.now() + read.wait.min(MAX_WAIT);
        // The last snapshot of a controller that has ended would be read for ever.
        while log.is_open() {
            let now = self.clock.now();
            let current = log.snapshot();
            let question = FeedQuestion {
                since: read.since,
                waited: now >= deadline,
                now: self.clock.since_boot(),
                failed_ago: current.failed.map(|failed| now - failed),
            };
            if let Some(reply) = feed_reply(&current, question) {
                return reply;
            }
            let left = current.valid_until.saturating_sub(question.now);
            tokio::select! {
                _ = log.changed() => {}
                () = self.clock.sleep(left.min(deadline - now)) => {}
            }
        }
        FeedReply::NotReading
    }
}
