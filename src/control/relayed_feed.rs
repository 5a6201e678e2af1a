use {
    super::{
        FeedCounters,
        relay_state::{RelayState, Source},
    },
    crate::{
        board::{FeedLog, Members, Section, Tick},
        decide::{
            StoreCall, feed_digests, feed_sources, has_followers, may_call_store, merge_difference,
            start_delay,
        },
        key::{HostKey, StoreRevision},
        port::{
            Change, Changes, Clock, Feed, FeedCompare, FeedError, FeedItem, FeedOrigin, FeedRead,
            FeedReply, Freshness, Listing, Peer, PeerCall, PeerError, PeerReply,
        },
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Longest wait of a read from another daemon. It bounds how late a change arrives after that
/// daemon has died, and is far below the times within which changes must be in force.
const PEER_WAIT: Duration = Duration::from_secs(1);

/// Time limit of the reply of another daemon, on top of the wait.
const REPLY_LIMIT: Duration = Duration::from_millis(400);

/// Time for which a daemon that did not reply is not asked again.
const SILENT_TIME: Duration = Duration::from_secs(10);

/// Time for which a daemon that cannot be connected to is not asked again; it may be starting.
const UNCONNECTED_TIME: Duration = Duration::from_secs(5);

/// Time for which other daemons are asked first after a read of the store has failed; longer than
/// the delay before the next read, which would otherwise call the store again.
const STORE_FAILED_TIME: Duration = Duration::from_secs(2);

/// Time limit of a response of the store to a watch, on top of the wait.
const STORE_LIMIT: Duration = Duration::from_millis(900);

/// Part of the time within which every daemon has to know a change that passes after the wait of a
/// reader's watch until the others have listed the objects at a store that no longer answers their
/// readers.
const SPREAD_MARGIN: Duration = Duration::from_millis(1_300);

/// Shortest wait of a reader's watch.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(300);

/// Most daemons that are asked in one read before the store is.
const MAX_TRIED_HOSTS: usize = 4;

/// Most daemons without a reply in one read of changes before the store is asked; a list, which
/// has to end sooner, tries one.
const MAX_SILENT_HOSTS: usize = 2;

/// Feed that is read from other daemons of the zone where possible, so that the number of calls to
/// the store does not grow with the number of daemons.
#[derive(Clone, Debug)]
pub struct RelayedFeed<F, P, C>
where
    F: Feed,
{
    feed: F,
    links: FeedLinks<P, C>,
    state: Arc<RelayState<C>>,
    /// Longest watch while other daemons read from this one.
    shared_wait: Duration,
    /// Objects that this daemon has read before, if they are kept.
    known: Option<Section<FeedLog<F::Item>>>,
    /// Whether the first read of changes waits, so that those of daemons that start together are spread.
    spread_start: bool,
}

/// What the feeds of a daemon need to read from other daemons.
#[derive(Clone, Debug)]
pub struct FeedLinks<P, C> {
    /// Client of the other daemons.
    pub peer: P,
    /// Source of time.
    pub clock: C,
    /// Daemons to choose from.
    pub members: Section<Members>,
    /// Counters of the reads.
    pub counters: FeedCounters,
}

/// Objects that another daemon returned, with the revision that it knows.
struct PeerObjects<T> {
    objects: Vec<Change<T>>,
    revision: StoreRevision,
    origin: FeedOrigin,
}

/// Result of asking other daemons.
enum PeerRead<T> {
    /// Another daemon returned objects.
    Objects(PeerObjects<T>),
    /// Another daemon has objects that are too large to be passed on; the store has to be read.
    TooLarge,
    /// No other daemon returned objects.
    Nothing {
        /// Whether one said that it cannot reach the store.
        outage: bool,
    },
}

impl<F, P, C> RelayedFeed<F, P, C>
where
    F: Feed,
    F::Item: FeedItem,
    P: Peer,
    C: Clock,
{
    /// Creates a feed that reads `feed` itself when no other daemon of the zone does.
    pub fn new(feed: F, links: FeedLinks<P, C>) -> Self {
        let state = RelayState::new(links.clock.clone());
        Self {
            feed,
            links,
            state: Arc::new(state),
            shared_wait: Duration::MAX,
            known: None,
            spread_start: false,
        }
    }

    /// Delays the first read of changes in a large deployment, see `start_delay`. For a feed whose
    /// changes are not urgent.
    #[must_use]
    pub fn with_spread_start(self) -> Self {
        Self {
            spread_start: true,
            ..self
        }
    }

    /// Sets the log of what this daemon has read. A list of another daemon is then compared with it, and
    /// only what differs is sent.
    #[must_use]
    pub fn with_known(self, known: Section<FeedLog<F::Item>>) -> Self {
        Self {
            known: Some(known),
            ..self
        }
    }

    /// Sets the time within which every daemon of the zone has to know a change, also when the store
    /// stops answering the readers of the zone.
    #[must_use]
    pub fn with_spread_limit(self, limit: Duration) -> Self {
        let shared_wait = limit.saturating_sub(SPREAD_MARGIN).max(MIN_WATCH_WAIT);
        Self {
            shared_wait,
            ..self
        }
    }

    /// Returns the daemons to ask, the first choice first; none if this one is to read the store
    /// itself.
    fn hosts(&self) -> Vec<HostKey> {
        let members = self.links.members.load();
        feed_sources(&members, |key| self.state.avoided.contains(key))
    }

    /// Returns the daemons to ask in this read. The readers take turns: one whose own connection to
    /// the store has gone silent reports no change for seconds, which the other one makes up for.
    ///
    /// A list is read from the daemon that had no changes for the read before, if there is one.
    fn next_hosts(&self, since: Option<StoreRevision>) -> Vec<HostKey> {
        let mut hosts = self.hosts();
        let turn = self.state.turn.fetch_add(1, Ordering::AcqRel);
        let expired = self.state.expired.swap(None).filter(|_| since.is_none());
        let first = expired.and_then(|host| hosts.iter().position(|key| *key == *host));
        if !hosts.is_empty() {
            let first = first.unwrap_or(turn % hosts.len());
            hosts.rotate_left(first);
        }
        hosts
    }

    /// Returns the wait of a read from another daemon: none for a list, which is replied to at once and has to
    /// leave time for the store, and none after a read without a reply, so that it soon shows whether a
    /// daemon replies at all.
    fn wait(&self, since: Option<StoreRevision>) -> Duration {
        if since.is_some() && self.state.replied.load(Ordering::Acquire) {
            PEER_WAIT
        } else {
            Duration::ZERO
        }
    }

    /// Remembers who returned the last result, and counts it.
    fn record(&self, source: Source) {
        self.state.searching.store(0, Ordering::Release);
        let before = self.state.source.swap(Arc::new(source));
        let label = match source {
            Source::Store => "store",
            Source::Daemons | Source::Unknown => "daemon",
        };
        self.links.counters.count(F::Item::KIND, label);
        if *before != source {
            log::info!(kind = F::Item::KIND.as_str(), source = label; "feed read from another source");
        }
    }

    /// Reads from another daemon, unless none reads the store or `max_silent` of them did not reply.
    ///
    /// Fails with `HistoryExpired` if a daemon no longer has the changes since then.
    async fn read_peers(
        &self,
        since: Option<StoreRevision>,
        max_silent: usize,
    ) -> Result<PeerRead<F::Item>, FeedError> {
        let mut asked = Vec::new();
        let turn = self.next_hosts(since);
        let mut silent = 0;
        let mut outage = false;
        while asked.len() < MAX_TRIED_HOSTS && silent < max_silent {
            // A host that has just failed is replaced by the next in order.
            let now = self.hosts();
            let hosts = turn.iter().filter(|host| now.contains(host)).chain(&now);
            let Some(host) = hosts.copied().find(|host| !asked.contains(host)) else {
                break;
            };
            asked.push(host);
            match self.ask(host, since).await {
                Ok(FeedReply::Objects {
                    objects,
                    revision,
                    failed_ago,
                }) => {
                    if let Some(objects) = F::Item::unwrap(objects) {
                        self.record(Source::Daemons);
                        self.state.replied.store(true, Ordering::Release);
                        return Ok(PeerRead::Objects(PeerObjects {
                            objects,
                            revision,
                            origin: FeedOrigin::Peer { failed_ago },
                        }));
                    }
                    self.avoid(host, SILENT_TIME, "the reply holds objects of another feed");
                }
                Ok(FeedReply::Expired) => {
                    self.state.expired.store(Some(Arc::new(host)));
                    return Err(FeedError::HistoryExpired);
                }
                Ok(FeedReply::TooLarge) => return Ok(PeerRead::TooLarge),
                Ok(FeedReply::NotReading | FeedReply::Difference { .. }) => {}
                Ok(FeedReply::Outage) => outage = true,
                Err((time, cause)) => {
                    self.state.replied.store(false, Ordering::Release);
                    self.avoid(host, time, &cause);
                    silent += 1;
                }
            }
        }
        Ok(PeerRead::Nothing { outage })
    }

    /// Asks `host`, for a list by what differs from the known one if possible; fails with the cause, and
    /// the time for which to avoid the host, if it does not reply.
    async fn ask(
        &self,
        host: HostKey,
        since: Option<StoreRevision>,
    ) -> Result<FeedReply, (Duration, String)> {
        if since.is_none()
            && let Some(reply) = self.compare(host).await?
        {
            return Ok(reply);
        }
        let wait = self.wait(since);
        let read = FeedRead {
            kind: F::Item::KIND,
            since,
            wait,
        };
        self.call(host, PeerCall::ReadFeed(read), wait).await
    }

    /// Requests the list of `host` by what differs from the known one; `None` if it has to be requested
    /// as a whole, since there is none to compare or the host is of an earlier release.
    async fn compare(&self, host: HostKey) -> Result<Option<FeedReply>, (Duration, String)> {
        let Some(known) = self.known.as_ref().map(Section::snapshot) else {
            return Ok(None);
        };
        let Some(digests) = feed_digests(&known) else {
            return Ok(None);
        };
        let count = digests.len();
        let compare = FeedCompare {
            kind: F::Item::KIND,
            digests,
        };
        let call = PeerCall::CompareFeed(compare);
        Ok(match self.call(host, call, Duration::ZERO).await? {
            FeedReply::Difference {
                parts,
                objects,
                revision,
                failed_ago,
            } => F::Item::unwrap(objects).map(|objects| FeedReply::Objects {
                objects: F::Item::wrap(merge_difference(&known, count, &parts, objects)),
                revision,
                failed_ago,
            }),
            FeedReply::Expired => None,
            reply => Some(reply),
        })
    }

    /// Calls `host`, and waits for its reply for `wait` and `REPLY_LIMIT`. A host of an earlier release
    /// refuses a comparison, which counts as `Expired`.
    async fn call(
        &self,
        host: HostKey,
        call: PeerCall,
        wait: Duration,
    ) -> Result<FeedReply, (Duration, String)> {
        let members = self.links.members.snapshot();
        let Some(member) = members.hosts.get(host) else {
            return Ok(FeedReply::NotReading);
        };
        let compares = matches!(call, PeerCall::CompareFeed(_));
        let call = self.links.peer.call(&member.address, call);
        match timeout(wait + REPLY_LIMIT, call).await {
            Ok(Ok(PeerReply::Feed(reply))) => Ok(reply),
            Ok(Ok(PeerReply::Failed(_)) | Err(PeerError::Refused(_))) if compares => {
                Ok(FeedReply::Expired)
            }
            Ok(Ok(_)) => Err((SILENT_TIME, "the reply is of another kind".to_owned())),
            Ok(Err(e @ PeerError::Unsent(_))) => Err((UNCONNECTED_TIME, e.to_string())),
            Ok(Err(e)) => Err((SILENT_TIME, e.to_string())),
            Err(_) => Err((SILENT_TIME, "no reply within the time limit".to_owned())),
        }
    }

    /// Returns whether this daemon may call the store now, after no other daemon returned a result;
    /// `outage` tells whether one said that it cannot reach the store.
    fn may_call_store(&self, outage: bool) -> bool {
        let members = self.links.members.load();
        let state = &self.state;
        let now = self.links.clock.now();
        let started = state.search_started(now);
        let called = Tick(state.called.load(Ordering::Acquire));
        let reading = **state.source.load() == Source::Store;
        let call = StoreCall {
            reader: reading
                || feed_sources(&members, |_| false).is_empty()
                || self.hosts().is_empty(),
            outage,
            starting: **state.revision.load() == StoreRevision::default(),
            searching: now.since(started),
            called_ago: (called > Tick::default()).then(|| now.since(called)),
        };
        let may = may_call_store(call);
        if may && !call.reader {
            state.called.store(now.0, Ordering::Release);
        }
        may
    }

    /// Records the outcome of a read of the store; after a failure other daemons are asked first.
    fn note_store<R>(&self, result: Result<R, FeedError>) -> Result<R, FeedError> {
        match &result {
            Ok(_) | Err(FeedError::HistoryExpired) => self.record(Source::Store),
            Err(_) => {
                let own = self.links.members.load().own;
                self.state.avoided.avoid(own, STORE_FAILED_TIME);
                self.state.source.store(Arc::new(Source::Unknown));
            }
        }
        result
    }

    fn avoid(&self, host: HostKey, time: Duration, cause: &str) {
        self.state.avoided.avoid(host, time);
        let members = self.links.members.load();
        let name = members.hosts.get(host).map_or("", |host| &host.name);
        log::info!(dependency = name, kind = F::Item::KIND.as_str(); "feed not read from this daemon for a while: {cause}");
    }
}

impl<F, P, C> Feed for RelayedFeed<F, P, C>
where
    F: Feed,
    F::Item: FeedItem,
    P: Peer,
    C: Clock,
{
    type Item = F::Item;

    async fn list(&self, freshness: Freshness) -> Result<Listing<Self::Item>, FeedError> {
        let known = **self.state.revision.load();
        match self.read_peers(None, 1).await? {
            // The daemon may know the same objects under a smaller revision; only the store can tell.
            PeerRead::Objects(read) if read.revision >= known => {
                self.state.known(read.revision);
                return Ok(Listing {
                    items: read.objects,
                    revision: read.revision,
                    origin: read.origin,
                });
            }
            PeerRead::Nothing { outage } if !self.may_call_store(outage) => {
                return Err(FeedError::NoSource);
            }
            PeerRead::Objects(_) | PeerRead::TooLarge | PeerRead::Nothing { .. } => {}
        }
        let listing = self.note_store(self.feed.list(freshness).await)?;
        self.state.known(listing.revision);
        Ok(listing)
    }

    async fn watch(
        &self,
        since: StoreRevision,
        wait: Duration,
    ) -> Result<Changes<Self::Item>, FeedError> {
        if self.spread_start && !self.state.watched.swap(true, Ordering::AcqRel) {
            let delay = start_delay(&self.links.members.load());
            self.links.clock.sleep(delay).await;
        }
        match self.read_peers(Some(since), MAX_SILENT_HOSTS).await? {
            PeerRead::Objects(read) => {
                let revision = read.revision.max(since);
                self.state.known(revision);
                return Ok(Changes {
                    changes: read.objects,
                    revision,
                    origin: read.origin,
                });
            }
            PeerRead::TooLarge | PeerRead::Nothing { .. } => {}
        }
        // The store may leave a watch from an old revision without a response; a list is answered.
        if **self.state.source.load() != Source::Store {
            return Err(FeedError::SourceChanged);
        }
        let changes = timeout(wait + STORE_LIMIT, self.feed.watch(since, wait)).await;
        let changes = self.note_store(changes.unwrap_or(Err(FeedError::TimedOut)))?;
        if !changes.changes.is_empty() {
            self.state.known(changes.revision);
        }
        Ok(changes)
    }

    fn watch_wait(&self, longest: Duration) -> Duration {
        if has_followers(&self.links.members.load()) {
            longest.min(self.shared_wait)
        } else {
            longest
        }
    }

    fn list_progress(&self) -> u64 {
        self.feed.list_progress()
    }
}
