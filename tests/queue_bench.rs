//! Bench for tests of the queue controller: a blackboard of its own, and an engine that records
//! cancellations.

use {
    lentillead::{
        board::{
            Blackboard, Branch, Endpoint, EndpointCounters, Fleet, Host, HostState, LoadedModels,
            Members, Owners, Ownership, Pool, Role, Secret, Tick, Writers,
        },
        control::{LoadController, QueueController, QueueHandle},
        key::{AttemptId, BranchKey, EndpointKey, HostKey, RequestId, name_hash},
        port::{
            CacheEvents, Chunk, DecodeRequest, Denial, Description, Engine, EngineError, Grant,
            GrantEnd, GrantQueue, GrantRelease, GrantRequest, KvHandle, LoadReport, MonoClock,
            Order, PrefillRequest, TokenStream,
        },
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::task::JoinHandle,
};

/// Name of the entry host of every attempt.
const ENTRY: &str = "entry";

/// Controller under test with the blackboard and the engine that it uses.
pub(crate) struct QueueBench {
    pub(crate) queues: QueueHandle,
    pub(crate) engine: RecordEngine,
    pub(crate) keys: Vec<EndpointKey>,
    pub(crate) board: Blackboard,
    writers: Writers,
}

impl QueueBench {
    /// Starts a controller that owns `count` decode endpoints and `count` prefill endpoints, each
    /// with a memory of `pieces`.
    pub(crate) fn new(count: usize, pieces: u32) -> Self {
        let (board, mut writers) = Blackboard::new();
        let mut members = Members::default();
        members.own = members.hosts.insert("own", host("own"));
        members.hosts.insert(ENTRY, host(ENTRY));
        let (fleet, keys) = fleet(count, pieces);
        let mut owners = Owners::default();
        for key in &keys {
            owners.by_endpoint.insert(*key, owned_by(members.own));
        }
        writers.members.publish(members);
        writers.fleet.publish(fleet);
        writers.owners.publish(owners);
        let engine = RecordEngine::default();
        let clock = MonoClock::start();
        let (controller, queues) = QueueController::new(board.clone(), clock, engine.clone());
        tokio::spawn(controller.run());
        Self {
            queues,
            engine,
            keys,
            board,
            writers,
        }
    }

    /// Lists a branch with a retry budget of its own.
    pub(crate) fn add_branch(&mut self, name: &str) -> BranchKey {
        let mut key = BranchKey::default();
        self.writers.branches.update(|branches| {
            let branch = Branch {
                name: name.to_owned(),
                secret: Secret("secret".to_owned()),
                queue_bytes: 0,
            };
            key = branches.insert(name, branch);
        });
        key
    }

    /// Starts a controller that follows the load reports of the endpoints.
    pub(crate) fn follow_load(&self) {
        let clock = MonoClock::start();
        let engine = self.engine.clone();
        let controller =
            LoadController::new(self.board.clone(), clock, engine, self.queues.clone());
        tokio::spawn(controller.run());
    }

    /// Advances the paused time by 1 ms, so that every task runs until it waits.
    pub(crate) async fn settle(&self) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }

    /// Sends a request for a grant from a task of its own.
    pub(crate) fn spawn(&self, request: GrantRequest) -> JoinHandle<Result<Grant, Denial>> {
        let queues = self.queues.clone();
        tokio::spawn(async move { queues.acquire(request).await })
    }

    /// Releases a grant with the given end.
    pub(crate) fn release(&self, grant: &Grant, end: GrantEnd) {
        self.queues.release(GrantRelease {
            attempt: grant.attempt,
            endpoint: grant.endpoint.clone(),
            end,
        });
    }

    /// Pieces granted over all endpoints.
    pub(crate) fn granted(&self) -> u32 {
        let fleet = self.board.fleet.snapshot();
        let endpoints = fleet.endpoints.iter();
        endpoints
            .map(|(_, endpoint)| endpoint.counters.granted())
            .sum()
    }

    /// Changes the state of the entry host.
    pub(crate) fn set_entry(&mut self, state: HostState) {
        self.writers.members.update(|members| {
            let key = members.hosts.find(ENTRY).unwrap();
            members.hosts.get_mut(key).unwrap().state = state;
        });
    }

    /// Replaces the loaded models of an endpoint.
    pub(crate) fn set_loaded(&mut self, index: usize, loaded: LoadedModels) {
        let key = self.keys[index];
        self.writers.fleet.update(|fleet| {
            fleet.endpoints.get_mut(key).unwrap().loaded = loaded;
        });
    }

    /// Marks an endpoint as draining.
    pub(crate) fn set_draining(&mut self, index: usize) {
        let key = self.keys[index];
        self.writers.fleet.update(|fleet| {
            fleet.endpoints.get_mut(key).unwrap().draining = true;
        });
    }
}

/// Identity of the attempt with this number.
pub(crate) fn attempt(sequence: u64) -> AttemptId {
    let request = RequestId {
        host: name_hash(ENTRY),
        incarnation: 1,
        sequence,
    };
    AttemptId { request, number: 0 }
}

/// A request for `pieces` of a pool, with a remaining time of 10 minutes.
pub(crate) fn grant_request(sequence: u64, role: Role, pieces: u32) -> GrantRequest {
    GrantRequest {
        attempt: attempt(sequence),
        role,
        pool: format!("{role:?}").to_lowercase(),
        model: "m".to_owned(),
        version: "1".to_owned(),
        adapter: None,
        branch: "bangor".to_owned(),
        priority: 1,
        pieces,
        prompt_tokens: 1000,
        output_tokens: 100,
        prefixes: Vec::new(),
        first_token: Duration::from_secs(1),
        per_token: Duration::from_millis(36),
        suspect: false,
        remaining: Duration::from_mins(10),
        avoid: Vec::new(),
    }
}

fn host(name: &str) -> Host {
    Host {
        name: name.to_owned(),
        zone: "a".to_owned(),
        address: String::new(),
        incarnation: 1,
        state: HostState::Alive,
        refutations: 0,
        cpu_hundredths: 0,
        changed_at: Tick::default(),
    }
}

/// The model `m` in `version`, without adapters.
pub(crate) fn loaded(version: &str) -> LoadedModels {
    LoadedModels {
        models: BTreeMap::from([("m".to_owned(), version.to_owned())]),
        ..LoadedModels::default()
    }
}

fn owned_by(owner: HostKey) -> Ownership {
    Ownership {
        owner,
        backup: None,
    }
}

fn fleet(count: usize, pieces: u32) -> (Fleet, Vec<EndpointKey>) {
    let mut fleet = Fleet::default();
    let mut keys = Vec::new();
    for role in [Role::Decode, Role::Prefill] {
        let name = format!("{role:?}").to_lowercase();
        let pool = fleet.pools.insert(&name, Pool::default());
        let mut members = Vec::new();
        for index in 0..count {
            let name = format!("{name}-{index}");
            let endpoint = Endpoint {
                name: name.clone(),
                address: name.clone(),
                zone: "a".to_owned(),
                pool,
                role,
                loaded: loaded("1"),
                pieces,
                piece_tokens: 2000,
                slots: 1,
                fenced: true,
                draining: false,
                counters: Arc::new(EndpointCounters::default()),
            };
            members.push(fleet.endpoints.insert(&name, endpoint));
        }
        keys.extend(members.iter().copied());
        fleet.pools.get_mut(pool).unwrap().members = members;
    }
    (fleet, keys)
}

/// Engine that supports cancellations and load reports; every other call fails or returns nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordEngine {
    state: Arc<Mutex<RecordState>>,
}

#[derive(Debug, Default)]
struct RecordState {
    cancels: usize,
    failures: usize,
    load: LoadReport,
}

impl RecordEngine {
    /// Makes the next `count` cancellations fail.
    pub(crate) fn fail_cancels(&self, count: usize) {
        self.state.lock().unwrap().failures = count;
    }

    /// Sets the load report of every endpoint.
    pub(crate) fn set_load(&self, used: u32, held: &[AttemptId], incarnation: u64) {
        self.state.lock().unwrap().load = LoadReport {
            incarnation,
            used,
            running: held.len() as u32,
            held: held.iter().map(ToString::to_string).collect(),
            ..LoadReport::default()
        };
    }

    /// Number of cancellations received.
    pub(crate) fn cancels(&self) -> usize {
        self.state.lock().unwrap().cancels
    }
}

/// Token stream without tokens.
#[derive(Debug)]
pub(crate) struct NoTokens;

impl TokenStream for NoTokens {
    async fn next(&mut self) -> Result<Option<Chunk>, EngineError> {
        Ok(None)
    }
}

impl Engine for RecordEngine {
    type Tokens = NoTokens;

    async fn prefill(&self, _: &str, _: &PrefillRequest) -> Result<KvHandle, EngineError> {
        Err(EngineError::UnknownAttempt)
    }

    async fn decode(&self, _: &str, _: &DecodeRequest) -> Result<NoTokens, EngineError> {
        Err(EngineError::UnknownAttempt)
    }

    async fn resume(&self, _: &str, _: AttemptId, _: u32) -> Result<NoTokens, EngineError> {
        Err(EngineError::UnknownAttempt)
    }

    async fn cancel(&self, _: &str, _: AttemptId) -> Result<(), EngineError> {
        let mut state = self.state.lock().unwrap();
        state.cancels += 1;
        if state.failures > 0 {
            state.failures -= 1;
            return Err(EngineError::Unsent("refused".to_owned()));
        }
        Ok(())
    }

    async fn describe(&self, _: &str) -> Result<Description, EngineError> {
        Err(EngineError::UnknownAttempt)
    }

    async fn load(&self, _: &str) -> Result<LoadReport, EngineError> {
        Ok(self.state.lock().unwrap().load.clone())
    }

    async fn events(&self, _: &str, _: u64) -> Result<CacheEvents, EngineError> {
        Ok(CacheEvents::default())
    }

    async fn order(&self, _: &str, _: &Order) -> Result<Description, EngineError> {
        Err(EngineError::UnknownAttempt)
    }
}
