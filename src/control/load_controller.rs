use {
    super::{queue_handle::QueueHandle, queue_message::QueueMessage},
    crate::{
        board::{Blackboard, Endpoint, Role},
        key::EndpointKey,
        port::{CacheEvents, Clock, Engine, EngineError},
    },
    std::{collections::HashMap, time::Duration},
    tokio::{
        select,
        task::{AbortHandle, JoinSet},
    },
};

/// Time between two polls of an endpoint.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit of each call of a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the load and the cache events of the endpoints that this host owns, and no others.
///
/// The results go to the queue controller, which alone decides on the endpoints' memory.
#[derive(Debug)]
pub struct LoadController<C, E>
where
    C: Clock,
    E: Engine,
{
    board: Blackboard,
    clock: C,
    engine: E,
    queues: QueueHandle,
    polls: JoinSet<()>,
    tasks: HashMap<EndpointKey, AbortHandle>,
}

impl<C, E> LoadController<C, E>
where
    C: Clock,
    E: Engine,
{
    /// Creates the controller; results go to `queues`.
    pub fn new(board: Blackboard, clock: C, engine: E, queues: QueueHandle) -> Self {
        Self {
            board,
            clock,
            engine,
            queues,
            polls: JoinSet::new(),
            tasks: HashMap::new(),
        }
    }

    /// Runs until the writer of the fleet or of the owners has been dropped.
    pub async fn run(mut self) {
        loop {
            self.follow();
            let open = select! {
                open = self.board.fleet.changed() => open,
                open = self.board.owners.changed() => open,
            };
            if !open {
                return;
            }
        }
    }

    /// Starts a polling task for each newly owned endpoint and aborts those of endpoints that are
    /// no longer owned here or have been removed from the fleet.
    fn follow(&mut self) {
        let fleet = self.board.fleet.snapshot();
        let owners = self.board.owners.snapshot();
        let own = self.board.members.load().own;
        let owned = |key: EndpointKey| {
            let ownership = owners.by_endpoint.get(key);
            ownership.is_some_and(|ownership| ownership.owner == own)
        };
        self.tasks.retain(|key, task| {
            let keep = owned(*key) && fleet.endpoints.get(*key).is_some();
            if !keep {
                task.abort();
            }
            keep
        });
        for (key, endpoint) in fleet.endpoints.iter() {
            if owned(key) && !self.tasks.contains_key(&key) {
                let poll = self.poll(key, endpoint);
                self.tasks.insert(key, self.polls.spawn(poll));
            }
        }
        // Collects the tasks that have ended.
        while self.polls.try_join_next().is_some() {}
    }

    /// Returns the task that polls one endpoint until it is aborted.
    fn poll(&self, key: EndpointKey, endpoint: &Endpoint) -> impl Future<Output = ()> + use<C, E> {
        let mut poll = Poll {
            key,
            address: endpoint.address.clone(),
            role: endpoint.role,
            clock: self.clock.clone(),
            engine: self.engine.clone(),
            queues: self.queues.clone(),
            last_event: 0,
        };
        async move {
            loop {
                poll.poll_once().await;
                poll.clock.sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// State of the task that polls one endpoint.
struct Poll<C, E> {
    key: EndpointKey,
    address: String,
    role: Role,
    clock: C,
    engine: E,
    queues: QueueHandle,
    /// Sequence number of the last cache event passed on; 0 before the first.
    last_event: u64,
}

impl<C, E> Poll<C, E>
where
    C: Clock,
    E: Engine,
{
    /// Polls the load, then the cache events unless the endpoint is a service.
    async fn poll_once(&mut self) {
        let load = self.with_timeout(self.engine.load(&self.address)).await;
        match load {
            Ok(report) => self.queues.send(QueueMessage::Load {
                endpoint: self.key,
                report,
            }),
            Err(error) if self.counts_as_failure(&error) => {
                self.queues.send(QueueMessage::LoadError(self.key));
                return;
            }
            Err(_) => return,
        }
        if self.role != Role::Service {
            self.follow_cache().await;
        }
    }

    /// Returns whether a failed poll counts as a failure of the endpoint.
    ///
    /// A service need not report load, so there only an unsent call counts.
    fn counts_as_failure(&self, error: &EngineError) -> bool {
        self.role != Role::Service || matches!(error, EngineError::Unsent(_))
    }

    /// Fetches new cache events, or the complete contents after a gap.
    async fn follow_cache(&mut self) {
        let Ok(mut events) = self.events(self.last_event).await else {
            return;
        };
        if has_gap(&events, self.last_event) {
            match self.events(0).await {
                Ok(all) => events = all,
                Err(_) => return,
            }
        }
        self.last_event = events.last;
        if events.full || !events.events.is_empty() {
            self.queues.send(QueueMessage::Cache {
                endpoint: self.key,
                events,
            });
        }
    }

    /// Fetches the cache events after the sequence number `after`.
    async fn events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        self.with_timeout(self.engine.events(&self.address, after))
            .await
    }

    /// Runs a call with a time limit of `POLL_TIMEOUT`.
    async fn with_timeout<F, T>(&self, call: F) -> Result<T, EngineError>
    where
        F: Future<Output = Result<T, EngineError>>,
    {
        select! {
            outcome = call => outcome,
            () = self.clock.sleep(POLL_TIMEOUT) => {
                Err(EngineError::Broken("no response within the time limit".to_owned()))
            }
        }
    }
}

/// Returns whether events after `last_event` are missing, or the endpoint has restarted.
fn has_gap(events: &CacheEvents, last_event: u64) -> bool {
    if events.full {
        return false;
    }
    let mut next = last_event + 1;
    for event in &events.events {
        if event.sequence != next {
            return true;
        }
        next += 1;
    }
    events.last + 1 != next
}
