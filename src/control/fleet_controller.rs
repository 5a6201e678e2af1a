use {
    crate::{
        board::{Endpoint, Fleet, HostList, Role, Section, Tick, Writer},
        decide::{Descriptions, merge_fleet},
        port::{Clock, Description, Engine, EngineError},
    },
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        time::Duration,
    },
    tokio::{
        sync::mpsc::{Receiver, Sender, channel},
        task::JoinSet,
        time::timeout,
    },
};

/// Time limit of one description.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Descriptions in progress at once.
const DESCRIBES_MAX: usize = 16;
/// Time until an engine that was not described is asked again.
const DESCRIBE_RETRY: Duration = Duration::from_secs(3);
/// Time until a described engine is asked again, to learn of a change of model or role.
const DESCRIBE_AGAIN: Duration = Duration::from_secs(30);

/// Descriptions that may wait for the controller.
const TOLD_MAX: usize = 64;

/// Publishes endpoints and pools from the host list and the engines' own descriptions.
#[derive(Debug)]
pub struct FleetController<E, C> {
    engine: E,
    clock: C,
    slots: u32,
    hosts: Section<HostList>,
    fleet: Writer<Fleet>,
    descriptions: Descriptions,
    asked: HashMap<String, Tick>,
    running: JoinSet<Described>,
    teller: Sender<Described>,
    told: Receiver<Described>,
}

/// Where those who changed an engine tell its new description.
#[derive(Clone, Debug)]
pub struct FleetNews(Sender<Described>);

impl FleetNews {
    /// Tells the description that the engine at `address` gave of itself.
    pub async fn tell(&self, address: &str, description: Description) {
        let described = Described {
            address: address.to_owned(),
            result: Ok(description),
        };
        // A controller that has ended publishes nothing any more.
        let _ = self.0.send(described).await;
    }
}

/// Answer of one engine.
#[derive(Debug)]
struct Described {
    address: String,
    result: Result<Description, EngineError>,
}

impl<E, C> FleetController<E, C>
where
    E: Engine,
    C: Clock,
{
    /// Creates the controller; a plain service may run `slots` requests at once.
    pub fn new(
        engine: E,
        clock: C,
        slots: u32,
        hosts: Section<HostList>,
        fleet: Writer<Fleet>,
    ) -> Self {
        let (teller, told) = channel(TOLD_MAX);
        Self {
            engine,
            clock,
            slots,
            hosts,
            fleet,
            descriptions: Descriptions::new(),
            asked: HashMap::new(),
            running: JoinSet::new(),
            teller,
            told,
        }
    }

    /// Returns where changes of engines are told.
    pub fn news(&self) -> FleetNews {
        FleetNews(self.teller.clone())
    }

    /// Runs until the host list has no writer any more.
    pub async fn run(mut self) {
        loop {
            self.publish();
            self.start_describes();
            tokio::select! {
                more = self.hosts.changed() => {
                    if !more {
                        return;
                    }
                }
                Some(described) = self.told.recv() => self.absorb(described),
                Some(done) = self.running.join_next() => {
                    if let Ok(described) = done {
                        self.absorb(described);
                    }
                }
            }
        }
    }

    fn publish(&mut self) {
        let list = self.hosts.snapshot();
        let mut next = Fleet::clone(&self.fleet.load());
        if merge_fleet(&mut next, &list, &self.descriptions, self.slots) {
            self.fleet.publish(next);
        }
    }

    fn absorb(&mut self, described: Described) {
        match described.result {
            Ok(description) => {
                self.descriptions.insert(described.address, description);
            }
            Err(e) => log::warn!(address = described.address.as_str(); "no description: {e}"),
        }
    }

    /// Forgets engines that are gone and asks those that are new or were not asked for a while.
    fn start_describes(&mut self) {
        let list = self.hosts.snapshot();
        let engines = list
            .endpoints
            .iter()
            .filter(|listed| listed.role != Role::Service);
        let addresses: BTreeSet<_> = engines.map(|listed| listed.address.as_str()).collect();
        self.descriptions
            .retain(|address, _| addresses.contains(address.as_str()));
        self.asked
            .retain(|address, _| addresses.contains(address.as_str()));
        let restarted = self.restarted();
        let free = DESCRIBES_MAX.saturating_sub(self.running.len());
        let due: Vec<_> = addresses
            .into_iter()
            .filter(|address| self.is_due(address, &restarted))
            .take(free)
            .map(String::from)
            .collect();
        for address in due {
            self.describe(address);
        }
    }

    fn is_due(&self, address: &str, restarted: &HashSet<String>) -> bool {
        let pause = if self.descriptions.contains_key(address) && !restarted.contains(address) {
            DESCRIBE_AGAIN
        } else {
            DESCRIBE_RETRY
        };
        let now = self.clock.now();
        let asked = self.asked.get(address);
        asked.is_none_or(|asked| now.since(*asked) >= pause)
    }

    /// Addresses of owned engines whose load reports tell of a later start than the description.
    fn restarted(&self) -> HashSet<String> {
        let fleet = self.fleet.load();
        let later = |endpoint: &&Endpoint| {
            let known = self.descriptions.get(&endpoint.address);
            known.is_some_and(|known| endpoint.slot.incarnation() > known.incarnation)
        };
        let endpoints = fleet.endpoints.iter().map(|(_, endpoint)| endpoint);
        let found = endpoints.filter(later);
        found.map(|endpoint| endpoint.address.clone()).collect()
    }

    fn describe(&mut self, address: String) {
        self.asked.insert(address.clone(), self.clock.now());
        let engine = self.engine.clone();
        self.running.spawn(async move {
            let answer = timeout(DESCRIBE_TIMEOUT, engine.describe(&address)).await;
            let late = Err(EngineError::Broken("no answer in time".into()));
            Described {
                result: answer.unwrap_or(late),
                address,
            }
        });
    }
}
