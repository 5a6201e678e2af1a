use {
    super::{line_mail::LineMail, lines::Lines},
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

/// Time that one poll may take.
const POLL_LIMIT: Duration = Duration::from_secs(2);

/// Follows the load and the cache events of the endpoints that this host owns, and no others.
///
/// What it learns goes to the line controller, which alone decides on the endpoints' memory.
#[derive(Debug)]
pub struct LoadController<C, E>
where
    C: Clock,
    E: Engine,
{
    board: Blackboard,
    clock: C,
    engine: E,
    lines: Lines,
    polls: JoinSet<()>,
    polled: HashMap<EndpointKey, AbortHandle>,
}

impl<C, E> LoadController<C, E>
where
    C: Clock,
    E: Engine,
{
    /// Creates the controller.
    pub fn new(board: Blackboard, clock: C, engine: E, lines: Lines) -> Self {
        Self {
            board,
            clock,
            engine,
            lines,
            polls: JoinSet::new(),
            polled: HashMap::new(),
        }
    }

    /// Runs until the writers of the fleet and of the owners are gone.
    pub async fn run(mut self) {
        loop {
            self.follow();
            let alive = select! {
                alive = self.board.fleet.changed() => alive,
                alive = self.board.owners.changed() => alive,
            };
            if !alive {
                return;
            }
        }
    }

    /// Starts a poll for each newly owned endpoint and ends those of endpoints owned elsewhere.
    fn follow(&mut self) {
        let fleet = self.board.fleet.snapshot();
        let owners = self.board.owners.snapshot();
        let own = self.board.members.load().own;
        let owned = |key: EndpointKey| {
            let ownership = owners.by_endpoint.get(key);
            ownership.is_some_and(|ownership| ownership.owner == own)
        };
        self.polled.retain(|key, task| {
            let kept = owned(*key) && fleet.endpoints.get(*key).is_some();
            if !kept {
                task.abort();
            }
            kept
        });
        for (key, endpoint) in fleet.endpoints.iter() {
            if owned(key) && !self.polled.contains_key(&key) {
                let poll = self.poll(key, endpoint);
                self.polled.insert(key, self.polls.spawn(poll));
            }
        }
        // Ended tasks are forgotten.
        while self.polls.try_join_next().is_some() {}
    }

    /// Returns the task that follows one endpoint.
    fn poll(&self, key: EndpointKey, endpoint: &Endpoint) -> impl Future<Output = ()> + use<C, E> {
        let mut poll = Poll {
            key,
            address: endpoint.address.clone(),
            role: endpoint.role,
            clock: self.clock.clone(),
            engine: self.engine.clone(),
            lines: self.lines.clone(),
            last: 0,
        };
        async move {
            loop {
                poll.round().await;
                poll.clock.sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Task that follows one endpoint.
struct Poll<C, E> {
    key: EndpointKey,
    address: String,
    role: Role,
    clock: C,
    engine: E,
    lines: Lines,
    /// Sequence number of the last cache event taken in.
    last: u64,
}

impl<C, E> Poll<C, E>
where
    C: Clock,
    E: Engine,
{
    /// Reads the load, then the cache events.
    async fn round(&mut self) {
        let load = self.limited(self.engine.load(&self.address)).await;
        match load {
            Ok(report) => self.lines.post(LineMail::Load {
                endpoint: self.key,
                report,
            }),
            Err(error) if self.is_silent(&error) => {
                self.lines.post(LineMail::Silent(self.key));
                return;
            }
            Err(_) => return,
        }
        if self.role != Role::Service {
            self.follow_cache().await;
        }
    }

    /// Whether the failure tells against the endpoint; a service need not report load.
    fn is_silent(&self, error: &EngineError) -> bool {
        self.role != Role::Service || matches!(error, EngineError::Unsent(_))
    }

    /// Reads new cache events, or the whole contents after a gap.
    async fn follow_cache(&mut self) {
        let Ok(mut events) = self.events(self.last).await else {
            return;
        };
        if has_gap(&events, self.last) {
            match self.events(0).await {
                Ok(whole) => events = whole,
                Err(_) => return,
            }
        }
        self.last = events.last;
        if events.full || !events.events.is_empty() {
            self.lines.post(LineMail::Cache {
                endpoint: self.key,
                events,
            });
        }
    }

    async fn events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        self.limited(self.engine.events(&self.address, after)).await
    }

    /// Gives up on a call after the time limit.
    async fn limited<F, T>(&self, call: F) -> Result<T, EngineError>
    where
        F: Future<Output = Result<T, EngineError>>,
    {
        select! {
            outcome = call => outcome,
            () = self.clock.sleep(POLL_LIMIT) => Err(EngineError::Broken("no answer".to_owned())),
        }
    }
}

/// Whether events after `last` are missing, or the endpoint has started anew.
fn has_gap(events: &CacheEvents, last: u64) -> bool {
    if events.full {
        return false;
    }
    let mut next = last + 1;
    for event in &events.events {
        if event.sequence != next {
            return true;
        }
        next += 1;
    }
    events.last + 1 != next
}
