//! Test setup: a zone of daemons that read a feed of the store from two readers, on a paused clock.

use {
    crate::listed::listed,
    lentillead::{
        board::{Arena, FeedLog, Host, HostState, Members, Role, Tick, section},
        border::peer_wire::encode,
        control::{FeedCounters, FeedFollower, FeedLinks, FeedRelay, FeedUpdate, RelayedFeed},
        decide::feed_sources,
        key::{HostKey, StoreRevision},
        port::{
            Change, Changes, Clock, Feed, FeedError, FeedOrigin, Freshness, Listing, Peer,
            PeerCall, PeerError, PeerReply, RosterEntry,
        },
    },
    prometheus_client::registry::Registry,
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        task::JoinHandle,
        time::{Instant, sleep, timeout},
    },
};

/// Longest watch of a daemon that reads the store.
pub const WATCH: Duration = Duration::from_secs(4);

/// Longest time, in milliseconds, until every daemon knows a change: the shortest drain period of
/// the deployments.
pub const SPREAD_LIMIT_MS: u128 = 2_000;

/// Clock whose time since boot follows tokio's clock, which the tests pause.
#[derive(Clone, Copy, Debug)]
pub struct TestClock(Instant);

impl Clock for TestClock {
    fn now(&self) -> Tick {
        Tick::default() + self.0.elapsed()
    }

    fn since_boot(&self) -> Duration {
        self.0.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        sleep(duration)
    }
}

/// Store of endpoints, with its history.
#[derive(Debug, Default)]
pub struct Store {
    pub events: Vec<(u64, Change<RosterEntry>)>,
    /// Number of times that it has come back from a copy.
    pub era: u64,
    /// Revision at which an object of another kind last changed.
    pub other: u64,
    /// Changes up to this revision are no longer kept.
    pub forgotten: u64,
    pub calls: usize,
    /// Number of lists among the calls.
    pub lists: usize,
    /// Hosts that the store does not answer.
    pub cut: BTreeSet<String>,
    /// Hosts whose watches get no response.
    pub silent: BTreeSet<String>,
}

impl Store {
    pub fn revision(&self) -> u64 {
        let last = self.events.last().map_or(0, |event| event.0);
        last.max(self.other)
    }

    fn full_revision(&self) -> StoreRevision {
        StoreRevision {
            era: self.era,
            number: self.revision(),
        }
    }

    /// Comes back from a copy that lacks the last `lost` changes.
    pub fn restore(&mut self, lost: usize) {
        let kept = self.events.len() - lost;
        self.events.truncate(kept);
        self.era += 1;
    }

    /// Returns the objects that exist, each as it was last written.
    pub fn items(&self) -> Vec<Change<RosterEntry>> {
        let mut items = BTreeMap::new();
        for change in self.since(0) {
            match &change {
                Change::Put(name, _) | Change::Unreadable(name, _) => {
                    items.insert(name.clone(), change);
                }
                Change::Removed(name) => {
                    items.remove(name);
                }
            }
        }
        items.into_values().collect()
    }

    /// Adds a change to the history.
    pub fn change(&mut self, change: Change<RosterEntry>) {
        let revision = self.revision() + 1;
        self.events.push((revision, change));
    }

    /// Changes an object of another kind, which the feed does not show.
    pub fn change_other(&mut self) {
        self.other = self.revision() + 1;
    }

    /// Returns the changes after `revision`.
    pub fn since(&self, revision: u64) -> Vec<Change<RosterEntry>> {
        let events = self.events.iter().filter(|event| event.0 > revision);
        events.map(|event| event.1.clone()).collect()
    }
}

/// A host's access to the store.
#[derive(Clone, Debug)]
struct StoreFeed {
    host: String,
    store: Arc<Mutex<Store>>,
    changed: watch::Receiver<()>,
}

impl StoreFeed {
    /// Counts a call; fails if the host is cut off.
    fn call(&self) -> Result<(), FeedError> {
        let mut store = self.store.lock().unwrap();
        store.calls += 1;
        if store.cut.contains(&self.host) {
            return Err(FeedError::Unreachable("cut off".to_owned()));
        }
        Ok(())
    }

    fn changes(&self, since: StoreRevision) -> Result<Changes<RosterEntry>, FeedError> {
        let store = self.store.lock().unwrap();
        if store.cut.contains(&self.host) {
            return Err(FeedError::Unreachable("cut off".to_owned()));
        }
        if since.number < store.forgotten || since.era != store.era {
            return Err(FeedError::HistoryExpired);
        }
        Ok(Changes {
            changes: store.since(since.number),
            revision: store.full_revision(),
            origin: FeedOrigin::Store,
        })
    }
}

impl Feed for StoreFeed {
    type Item = RosterEntry;

    async fn list(&self, _: Freshness) -> Result<Listing<RosterEntry>, FeedError> {
        self.call()?;
        let mut store = self.store.lock().unwrap();
        store.lists += 1;
        Ok(Listing {
            items: store.items(),
            revision: store.full_revision(),
            origin: FeedOrigin::Store,
        })
    }

    async fn watch(
        &self,
        since: StoreRevision,
        wait: Duration,
    ) -> Result<Changes<RosterEntry>, FeedError> {
        self.call()?;
        if self.store.lock().unwrap().silent.contains(&self.host) {
            std::future::pending::<()>().await;
        }
        let mut wakeup = self.changed.clone();
        let waiting = async {
            loop {
                wakeup.borrow_and_update();
                let changes = self.changes(since)?;
                if !changes.changes.is_empty() {
                    return Ok(changes);
                }
                if wakeup.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        match timeout(wait, waiting).await {
            Ok(changes) => changes,
            Err(_) => self.changes(since),
        }
    }
}

/// Calls between the daemons, by address.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    pub relays: Arc<Mutex<HashMap<String, FeedRelay<TestClock>>>>,
    /// Hosts that accept calls but do not reply.
    pub silent: Arc<Mutex<BTreeSet<String>>>,
    /// Number of complete lists that were requested.
    pub lists: Arc<AtomicUsize>,
    /// Bytes of the replies of each host.
    pub sent: Arc<Mutex<HashMap<String, usize>>>,
    /// Whether hosts know no comparison of lists.
    pub earlier_release: Arc<AtomicBool>,
}

impl Peer for Peers {
    async fn call(&self, address: &str, call: PeerCall) -> Result<PeerReply, PeerError> {
        self.wait_while_silent(address).await;
        let relay = self.relays.lock().unwrap().get(address).cloned();
        let relay = relay.ok_or_else(|| PeerError::Unsent("connection refused".to_owned()))?;
        let reply = match call {
            PeerCall::ReadFeed(read) => {
                if read.since.is_none() {
                    self.lists.fetch_add(1, Ordering::AcqRel);
                }
                relay.handle(read).await
            }
            PeerCall::CompareFeed(compare) if !self.earlier_release.load(Ordering::Acquire) => {
                relay.compare(&compare)
            }
            PeerCall::CompareFeed(_) => return Err(PeerError::Refused("unknown call".to_owned())),
            _ => panic!("only feeds are read"),
        };
        // A host that was suspended during the call does not reply either.
        self.wait_while_silent(address).await;
        let reply = PeerReply::Feed(reply);
        let length = encode(&reply).unwrap().len();
        let mut sent = self.sent.lock().unwrap();
        *sent.entry(address.to_owned()).or_default() += length;
        Ok(reply)
    }
}

impl Peers {
    async fn wait_while_silent(&self, address: &str) {
        if self.silent.lock().unwrap().contains(address) {
            sleep(Duration::from_hours(1)).await;
        }
    }
}

/// What a daemon knows: the names of the endpoints.
pub type Known = Arc<Mutex<BTreeSet<String>>>;

/// A running daemon.
pub struct Daemon {
    pub known: Known,
    /// Names of the endpoints that it takes for expired in an outage of the store.
    pub expired: Known,
    pub task: JoinHandle<()>,
    /// Notified to suspend it: it keeps what it has read.
    pub suspend: Arc<Notify>,
}

/// A zone of daemons that follow the feed.
pub struct Zone {
    pub store: Arc<Mutex<Store>>,
    pub changed: watch::Sender<()>,
    pub peers: Peers,
    pub daemons: BTreeMap<String, Daemon>,
    clock: TestClock,
}

impl Drop for Zone {
    fn drop(&mut self) {
        for daemon in self.daemons.values() {
            daemon.task.abort();
        }
    }
}

pub fn host(name: &str, cpu_hundredths: u32) -> Host {
    Host {
        name: name.to_owned(),
        zone: "zone-a".to_owned(),
        address: name.to_owned(),
        incarnation: 1,
        refutations: 0,
        cpu_hundredths,
        state: HostState::Alive,
        changed_at: Tick::default(),
    }
}

fn members(names: &[String], own: &str) -> Members {
    let mut hosts = Arena::<HostKey, Host>::default();
    for name in names {
        hosts.insert(name, host(name, 25));
    }
    let own = hosts.find(own).unwrap();
    Members {
        hosts,
        own,
        is_listed: true,
    }
}

fn host_names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("host-{number}")).collect()
}

impl Zone {
    /// Starts `count` daemons at once; the store holds one endpoint.
    pub async fn start(count: usize) -> Self {
        Self::start_apart(count, Duration::ZERO).await
    }

    /// Starts `count` daemons one after another, `pause` apart; between them, objects of another kind
    /// change.
    pub async fn start_apart(count: usize, pause: Duration) -> Self {
        Self::empty().start_daemons(count, pause).await
    }

    /// Starts `count` daemons like `start_apart`.
    pub async fn start_daemons(mut self, count: usize, pause: Duration) -> Self {
        let zone = &mut self;
        let names = host_names(count);
        for name in &names {
            zone.start_daemon(&names, name);
            if !pause.is_zero() {
                sleep(pause).await;
                zone.store.lock().unwrap().change_other();
            }
        }
        sleep(Duration::from_secs(10)).await;
        self
    }

    /// Starts `count` daemons at once, none of which the store answers.
    pub fn start_cut(count: usize) -> Self {
        let zone = Self::start_new(count);
        // The daemons have not run yet.
        zone.store.lock().unwrap().cut = host_names(count).into_iter().collect();
        zone
    }

    /// Starts `count` daemons at once, which have not run yet.
    pub fn start_new(count: usize) -> Self {
        let mut zone = Self::empty();
        let names = host_names(count);
        for name in &names {
            zone.start_daemon(&names, name);
        }
        zone
    }

    /// Prepares a zone without daemons; the store holds one endpoint.
    pub fn empty() -> Self {
        let zone = Self {
            store: Arc::default(),
            changed: watch::channel(()).0,
            peers: Peers::default(),
            daemons: BTreeMap::new(),
            clock: TestClock(Instant::now()),
        };
        zone.put("e0");
        zone
    }

    fn start_daemon(&mut self, names: &[String], name: &str) {
        let feed = StoreFeed {
            host: name.to_owned(),
            store: Arc::clone(&self.store),
            changed: self.changed.subscribe(),
        };
        let (_, members) = section(members(names, name));
        let links = FeedLinks {
            peer: self.peers.clone(),
            clock: self.clock,
            members,
            counters: FeedCounters::new(&mut Registry::default()),
        };
        let (endpoints_log, endpoints) = section(FeedLog::default());
        let known_endpoints = endpoints.clone();
        let relay = FeedRelay {
            clock: self.clock,
            routing: section(FeedLog::default()).1,
            endpoints,
            members: section(FeedLog::default()).1,
        };
        let mut relays = self.peers.relays.lock().unwrap();
        relays.insert(name.to_owned(), relay);
        let rng = SmallRng::seed_from_u64(name.len() as u64);
        let limit = Duration::from_millis(SPREAD_LIMIT_MS as u64);
        let feed = RelayedFeed::new(feed, links)
            .with_spread_limit(limit)
            .with_known(known_endpoints)
            .with_spread_start();
        let follower =
            FeedFollower::new(feed, self.clock, "endpoints", WATCH, rng).with_log(endpoints_log);
        let known = Known::default();
        let suspend = Arc::new(Notify::new());
        let expired = Known::default();
        let names = [&known, &expired].map(Arc::clone);
        let running = follow(follower, names, Arc::clone(&suspend));
        let daemon = Daemon {
            known,
            expired,
            task: tokio::spawn(running),
            suspend,
        };
        self.daemons.insert(name.to_owned(), daemon);
    }

    pub fn change(&self, change: Change<RosterEntry>) {
        self.store.lock().unwrap().change(change);
        self.changed.send_replace(());
    }

    pub fn put(&self, name: &str) {
        let (listed, description) = listed(name, "ledger", Role::Service);
        let entry = RosterEntry {
            listed,
            description,
        };
        self.change(Change::Put(name.to_owned(), entry));
    }

    /// Readers of the zone by its daemons' own decision, in order of name.
    pub fn readers(&self) -> Vec<String> {
        let names: Vec<_> = self.daemons.keys().cloned().collect();
        let reads = |name: &&String| feed_sources(&members(&names, name), |_| false).is_empty();
        names.iter().filter(reads).cloned().collect()
    }

    /// Ends a daemon: its connections are refused from now on.
    pub fn kill(&self, name: &str) {
        self.daemons[name].task.abort();
        self.peers.relays.lock().unwrap().remove(name);
    }

    /// Number of calls to the store in `time`.
    pub async fn calls_within(&self, time: Duration) -> usize {
        let before = self.store.lock().unwrap().calls;
        sleep(time).await;
        self.store.lock().unwrap().calls - before
    }

    /// Puts the endpoint `name`, and returns the milliseconds until every daemon but `without`
    /// knows it.
    pub async fn time_to_spread(&self, name: &str, without: &[String]) -> u128 {
        let start = Instant::now();
        self.put(name);
        let daemons = self.daemons.iter();
        for (daemon, state) in daemons.filter(|(daemon, _)| !without.contains(daemon)) {
            while !state.known.lock().unwrap().contains(name) {
                sleep(Duration::from_millis(1)).await;
                let late = start.elapsed() > Duration::from_mins(1);
                assert!(
                    !late,
                    "{daemon} does not know {name}; readers {:?}, without {without:?}",
                    self.readers()
                );
            }
        }
        start.elapsed().as_millis()
    }
}

/// Follows the feed and keeps the names of the endpoints in the first set, and of those that were
/// removed after an outage of the store in the second one.
async fn follow<F>(
    mut follower: FeedFollower<F, TestClock>,
    [known, expired]: [Known; 2],
    suspend: Arc<Notify>,
) where
    F: Feed,
{
    loop {
        let update = tokio::select! {
            update = follower.next() => update,
            () = suspend.notified() => std::future::pending().await,
        };
        let mut known = known.lock().unwrap();
        let before = known.clone();
        let changes = match update {
            FeedUpdate::Listing(items) => {
                known.clear();
                items
            }
            FeedUpdate::Changes(changes) => changes,
            FeedUpdate::Unavailable | FeedUpdate::Unchanged => continue,
        };
        for change in changes {
            match change {
                Change::Put(name, _) => known.insert(name),
                Change::Unreadable(name, _) | Change::Removed(name) => known.remove(&name),
            };
        }
        if follower.outage_end().is_some() {
            expired
                .lock()
                .unwrap()
                .extend(before.difference(&known).cloned());
        }
    }
}
