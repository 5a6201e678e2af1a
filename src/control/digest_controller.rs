use {
    super::heartbeat_ports::DigestUpdate,
    crate::{
        board::{Digest, Digests, Fleet, Members, Section, Tick, Writer},
        key::{EndpointKey, HostKey, name_hash},
        port::{Clock, EndpointUpdate},
    },
    slotmap::SecondaryMap,
    std::{collections::HashMap, time::Duration},
    tokio::sync::mpsc,
};

/// Age at which a digest is dropped: twice the time after which owners repeat an unchanged load.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(10);

/// Shortest time between two publications.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// Most heartbeats that go into one publication.
const MAX_BATCH_UPDATES: usize = 64;

/// Writes the `digests` section from the loads that owners report in their heartbeats.
///
/// It covers only owners that exchange heartbeats with this daemon. Digests improve the order in
/// which owners are called; nothing depends on their being complete.
#[derive(Debug)]
pub struct DigestController<C> {
    clock: C,
    fleet: Section<Fleet>,
    members: Section<Members>,
    inbox: mpsc::Receiver<DigestUpdate>,
    digests: Writer<Digests>,
    keys_by_hash: HashMap<u64, EndpointKey>,
    waiting: SecondaryMap<EndpointKey, (HostKey, u32)>,
}

impl<C> DigestController<C>
where
    C: Clock,
{
    /// Creates the controller; the loads in heartbeats reach it through `inbox`.
    pub fn new(
        clock: C,
        fleet: Section<Fleet>,
        members: Section<Members>,
        inbox: mpsc::Receiver<DigestUpdate>,
        digests: Writer<Digests>,
    ) -> Self {
        Self {
            clock,
            fleet,
            members,
            inbox,
            digests,
            keys_by_hash: HashMap::new(),
            waiting: SecondaryMap::new(),
        }
    }

    /// Runs until every sender of `inbox` has been dropped.
    pub async fn run(mut self) {
        let mut batch = Vec::with_capacity(MAX_BATCH_UPDATES);
        self.index_endpoints();
        let mut fleet = self.fleet.clone();
        let mut fleet_open = true;
        loop {
            tokio::select! {
                count = self.inbox.recv_many(&mut batch, MAX_BATCH_UPDATES) => {
                    if count == 0 {
                        return;
                    }
                    self.publish(&mut batch);
                    self.clock.sleep(MIN_PUBLISH_INTERVAL).await;
                }
                open = fleet.changed(), if fleet_open => {
                    fleet_open = open;
                    self.index_endpoints();
                }
            }
        }
    }

    /// Indexes the endpoints of the fleet by the hash of their name, as heartbeats name them.
    fn index_endpoints(&mut self) {
        let fleet = self.fleet.load();
        let endpoints = fleet.endpoints.iter();
        self.keys_by_hash = endpoints
            .map(|(key, endpoint)| (name_hash(&endpoint.name), key))
            .collect();
    }

    /// Publishes the digests with a batch of updates applied and expired ones removed.
    fn publish(&mut self, batch: &mut Vec<DigestUpdate>) {
        let mut next = Digests::clone(&self.digests.load());
        let members = self.members.snapshot();
        for update in batch.drain(..) {
            if let Some(host) = members.hosts.find(&update.host) {
                for load in &update.endpoints {
                    self.record(&mut next, host, load, update.received_at);
                }
            }
        }
        let now = self.clock.now();
        next.by_endpoint
            .retain(|_, digest| now.since(digest.received_at) < MAX_DIGEST_AGE);
        self.waiting
            .retain(|key, _| next.by_endpoint.contains_key(key));
        next.waiting = self.waiting_totals();
        self.digests.publish(next);
    }

    /// Enters the load of one endpoint into `next`; an endpoint unknown here is left out.
    fn record(
        &mut self,
        next: &mut Digests,
        host: HostKey,
        load: &EndpointUpdate,
        received_at: Tick,
    ) {
        let fleet = self.fleet.load();
        let key = self.keys_by_hash.get(&load.endpoint).copied();
        let known = key.and_then(|key| Some((key, fleet.endpoints.get(key)?)));
        if let Some((key, endpoint)) = known {
            let digest = Digest {
                role: endpoint.role,
                free: load.free,
                running: load.running,
                received_at,
            };
            next.by_endpoint.insert(key, digest);
            self.waiting.insert(key, (host, load.waiting));
        }
    }

    /// Counts the waiting requests by owner and pool.
    fn waiting_totals(&self) -> HashMap<(HostKey, String), u32> {
        let fleet = self.fleet.load();
        let mut totals = HashMap::new();
        for (key, (host, waiting)) in &self.waiting {
            let pool = fleet
                .endpoints
                .get(key)
                .and_then(|endpoint| fleet.pools.get(endpoint.pool));
            if let Some(pool) = pool {
                *totals.entry((*host, pool.name.clone())).or_insert(0) += waiting;
            }
        }
        totals
    }
}
