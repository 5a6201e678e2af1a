use {
    super::heartbeat_ports::DigestNews,
    crate::{
        board::{Digest, Digests, Fleet, Members, Section, Tick, Writer},
        key::{EndpointKey, HostKey, name_hash},
        port::{Clock, EndpointNews},
    },
    slotmap::SecondaryMap,
    std::{collections::HashMap, time::Duration},
    tokio::sync::mpsc,
};

/// Age at which a digest is dropped: twice the time after which owners repeat an unchanged load.
const DIGEST_AGE: Duration = Duration::from_secs(10);

/// Shortest time between two publications.
const PUBLISH_PAUSE: Duration = Duration::from_millis(200);

/// Heartbeats taken in for one publication.
const BATCH_LENGTH: usize = 64;

/// Writes `Digests` from the loads that owners tell in their heartbeats.
///
/// Only the owners that this daemon exchanges heartbeats with are heard; digests improve the order
/// in which owners are asked and nothing depends on their being complete.
#[derive(Debug)]
pub struct DigestController<C> {
    clock: C,
    fleet: Section<Fleet>,
    members: Section<Members>,
    inbox: mpsc::Receiver<DigestNews>,
    digests: Writer<Digests>,
    keys: HashMap<u64, EndpointKey>,
    waiting: SecondaryMap<EndpointKey, (HostKey, u32)>,
}

impl<C> DigestController<C>
where
    C: Clock,
{
    /// Creates the controller; heartbeats reach it through `inbox`.
    pub fn new(
        clock: C,
        fleet: Section<Fleet>,
        members: Section<Members>,
        inbox: mpsc::Receiver<DigestNews>,
        digests: Writer<Digests>,
    ) -> Self {
        Self {
            clock,
            fleet,
            members,
            inbox,
            digests,
            keys: HashMap::new(),
            waiting: SecondaryMap::new(),
        }
    }

    /// Runs until heartbeats have no sender any more.
    pub async fn run(mut self) {
        let mut batch = Vec::with_capacity(BATCH_LENGTH);
        self.index();
        let mut fleet = self.fleet.clone();
        let mut lasting = true;
        loop {
            tokio::select! {
                count = self.inbox.recv_many(&mut batch, BATCH_LENGTH) => {
                    if count == 0 {
                        return;
                    }
                    self.publish(&mut batch);
                    self.clock.sleep(PUBLISH_PAUSE).await;
                }
                more = fleet.changed(), if lasting => {
                    lasting = more;
                    self.index();
                }
            }
        }
    }

    fn index(&mut self) {
        let fleet = self.fleet.load();
        let endpoints = fleet.endpoints.iter();
        self.keys = endpoints
            .map(|(key, endpoint)| (name_hash(&endpoint.name), key))
            .collect();
    }

    fn publish(&mut self, batch: &mut Vec<DigestNews>) {
        let mut next = Digests::clone(&self.digests.load());
        let members = self.members.snapshot();
        for news in batch.drain(..) {
            if let Some(host) = members.hosts.find(&news.host) {
                for load in &news.endpoints {
                    self.take(&mut next, host, load, news.heard);
                }
            }
        }
        let now = self.clock.now();
        next.by_endpoint
            .retain(|_, digest| now.since(digest.heard) < DIGEST_AGE);
        self.waiting
            .retain(|key, _| next.by_endpoint.contains_key(key));
        next.waiting = self.totals();
        self.digests.publish(next);
    }

    fn take(&mut self, next: &mut Digests, host: HostKey, load: &EndpointNews, heard: Tick) {
        let fleet = self.fleet.load();
        let key = self.keys.get(&load.endpoint).copied();
        let known = key.and_then(|key| Some((key, fleet.endpoints.get(key)?)));
        if let Some((key, endpoint)) = known {
            let digest = Digest {
                role: endpoint.role,
                free: load.free,
                running: load.running,
                heard,
            };
            next.by_endpoint.insert(key, digest);
            self.waiting.insert(key, (host, load.waiting));
        }
    }

    /// Requests waiting, by owner and pool.
    fn totals(&self) -> HashMap<(HostKey, String), u32> {
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
