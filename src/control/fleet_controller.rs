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

/// Time limit for an engine to return its description.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most description calls in progress at once.
const MAX_DESCRIBES: usize = 16;
/// Time until an engine that has not returned a description is called again.
const DESCRIBE_RETRY: Duration = Duration::from_secs(3);
/// Time until a described engine is called again, to notice a change of model or role.
const DESCRIBE_REFRESH: Duration = Duration::from_secs(30);

/// Descriptions that may wait for the controller; senders wait while there is no room.
const MAILBOX_CAPACITY: usize = 64;

/// Writes the `fleet` section: endpoints and pools, from the host list and from the descriptions
/// that engines return.
#[derive(Debug)]
pub struct FleetController<E, C> {
    engine: E,
    clock: C,
    slots: u32,
    hosts: Section<HostList>,
    fleet: Writer<Fleet>,
    descriptions: Descriptions,
    last_requested: HashMap<String, Tick>,
    describes: JoinSet<Described>,
    sender: Sender<Described>,
    receiver: Receiver<Described>,
}

/// Handle with which a changed engine's new description reaches the fleet controller.
#[derive(Clone, Debug)]
pub struct DescriptionSender(Sender<Described>);

impl DescriptionSender {
    /// Sends the description that the engine at `address` returned; waits while there is no room.
    pub async fn send(&self, address: &str, description: Description) {
        let described = Described {
            address: address.to_owned(),
            result: Ok(description),
        };
        // An error means that the controller has ended; there is nothing to update then.
        let _ = self.0.send(described).await;
    }
}

/// Result of one description call.
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
    /// Creates the controller; each service may run `slots` requests at once.
    pub fn new(
        engine: E,
        clock: C,
        slots: u32,
        hosts: Section<HostList>,
        fleet: Writer<Fleet>,
    ) -> Self {
        let (sender, receiver) = channel(MAILBOX_CAPACITY);
        Self {
            engine,
            clock,
            slots,
            hosts,
            fleet,
            descriptions: Descriptions::new(),
            last_requested: HashMap::new(),
            describes: JoinSet::new(),
            sender,
            receiver,
        }
    }

    /// Returns a handle for descriptions of changed engines.
    pub fn description_sender(&self) -> DescriptionSender {
        DescriptionSender(self.sender.clone())
    }

    /// Runs until the writer of the host list has been dropped.
    pub async fn run(mut self) {
        loop {
            self.publish();
            self.start_describes();
            tokio::select! {
                open = self.hosts.changed() => {
                    if !open {
                        return;
                    }
                }
                Some(described) = self.receiver.recv() => self.apply(described),
                Some(done) = self.describes.join_next() => {
                    if let Ok(described) = done {
                        self.apply(described);
                    }
                }
            }
        }
    }

    /// Publishes the fleet if the host list or a description has changed it.
    fn publish(&mut self) {
        let list = self.hosts.snapshot();
        let mut next = Fleet::clone(&self.fleet.load());
        if merge_fleet(&mut next, &list, &self.descriptions, self.slots) {
            self.fleet.publish(next);
        }
    }

    /// Records the result of a description call.
    fn apply(&mut self, described: Described) {
        match described.result {
            Ok(description) => {
                self.descriptions.insert(described.address, description);
            }
            Err(e) => log::warn!(
                address = described.address.as_str();
                "description call failed; engine is called again later: {e}"
            ),
        }
    }

    /// Drops engines that are no longer listed and calls those that are new or due again.
    fn start_describes(&mut self) {
        let list = self.hosts.snapshot();
        let engines = list
            .endpoints
            .iter()
            .filter(|listed| listed.role != Role::Service);
        let addresses: BTreeSet<_> = engines.map(|listed| listed.address.as_str()).collect();
        self.descriptions
            .retain(|address, _| addresses.contains(address.as_str()));
        self.last_requested
            .retain(|address, _| addresses.contains(address.as_str()));
        let restarted = self.restarted();
        let free = MAX_DESCRIBES.saturating_sub(self.describes.len());
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

    /// Returns whether the engine at `address` is to be called again.
    fn is_due(&self, address: &str, restarted: &HashSet<String>) -> bool {
        let pause = if self.descriptions.contains_key(address) && !restarted.contains(address) {
            DESCRIBE_REFRESH
        } else {
            DESCRIBE_RETRY
        };
        let now = self.clock.now();
        let last_requested = self.last_requested.get(address);
        last_requested.is_none_or(|last_requested| now.since(*last_requested) >= pause)
    }

    /// Returns the addresses of owned engines whose load reports show a later start than the
    /// description.
    fn restarted(&self) -> HashSet<String> {
        let fleet = self.fleet.load();
        let is_newer = |endpoint: &&Endpoint| {
            let known = self.descriptions.get(&endpoint.address);
            known.is_some_and(|known| endpoint.counters.incarnation() > known.incarnation)
        };
        let endpoints = fleet.endpoints.iter().map(|(_, endpoint)| endpoint);
        let newer = endpoints.filter(is_newer);
        newer.map(|endpoint| endpoint.address.clone()).collect()
    }

    /// Starts a description call.
    fn describe(&mut self, address: String) {
        self.last_requested
            .insert(address.clone(), self.clock.now());
        let engine = self.engine.clone();
        self.describes.spawn(async move {
            let response = timeout(DESCRIBE_TIMEOUT, engine.describe(&address)).await;
            let timed_out = Err(EngineError::Broken(
                "no description within the time limit".into(),
            ));
            Described {
                result: response.unwrap_or(timed_out),
                address,
            }
        });
    }
}
