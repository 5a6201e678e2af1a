use {
    super::{ControlPlane, DaemonContext, DaemonError, DaemonParts, DaemonPlatform, Dispatch},
    crate::{
        board::{Arena, Blackboard, Counters, Writers},
        border::{
            self, CallerContext, CallerListener, OperatorContext, OperatorListener, PEER_RECEIVE,
            PeerClient, PeerListener, Settings,
        },
        port::MonoClock,
        request::{Entry, PathOptions, Shared},
    },
    prometheus_client::registry::Registry,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        task::{JoinHandle, JoinSet},
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Time between the announcement of a planned stop and the end of accepting connections, so that
/// the platform's load balancer notices that the daemon is not ready.
const UNREADY_NOTICE: Duration = Duration::from_millis(500);

/// Operator listener state with the port implementations of a daemon.
type DaemonOperator = OperatorContext<DaemonPlatform, PeerClient, MonoClock>;

/// A running daemon; dropping it ends it at once, as a crash would.
#[derive(Debug)]
pub struct Daemon {
    addresses: Addresses,
    ctx: DaemonContext,
    control: ControlPlane,
    shared: Shared<DaemonParts>,
    registry: Arc<Registry>,
    listeners: Listeners,
    tasks: JoinSet<()>,
}

/// Addresses to which the listeners are bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Listener for requests of callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for other daemons.
    pub peers: SocketAddr,
}

/// Tasks of the listeners and the tokens that stop them.
#[derive(Debug)]
struct Listeners {
    callers: JoinHandle<()>,
    operators: JoinHandle<()>,
    peers: JoinHandle<()>,
    /// Ends the listener for callers.
    stop_callers: CancellationToken,
    /// Ends the listeners for operators and for other daemons.
    stop_peers: CancellationToken,
    /// Cancelled when an operator requests a planned stop.
    drain: CancellationToken,
}

impl Daemon {
    /// Starts a daemon and returns when its listeners are bound.
    ///
    /// # Errors
    ///
    /// Fails if a client cannot be created or a listener cannot be bound.
    pub fn start(settings: &Settings) -> Result<Self, DaemonError> {
        let mut registry = Registry::with_prefix("lentillead");
        let counters = Counters::new(&mut registry);
        let (board, mut writers) = Blackboard::new();
        publish_branches(settings, &mut writers);
        let ctx = DaemonContext::new(
            settings,
            board,
            counters.stray_chunks.clone(),
            &mut registry,
        )?;
        let peers = bind(settings.listen.peers)?;
        let address = settings.advertise.unwrap_or(local_addr(&peers)?);
        let mut tasks = JoinSet::new();
        let control = ControlPlane::start(&ctx, writers, address, &mut tasks);
        let parts = DaemonParts::new(&ctx, &control);
        let options = PathOptions {
            stall_timeout: settings.timing.progress,
            ..PathOptions::default()
        };
        let shared = Shared::new(parts, ctx.board.clone(), counters, options);
        let registry = Arc::new(registry);
        let operator = operator(&ctx, &control, &registry);
        let (listeners, addresses) = listen(&ctx, &control, &shared, operator, peers)?;
        Ok(Self {
            addresses,
            ctx,
            control,
            shared,
            registry,
            listeners,
            tasks,
        })
    }

    /// Addresses to which the listeners are bound.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Blackboard through which controllers and requests share state.
    pub fn board(&self) -> &Blackboard {
        &self.ctx.board
    }

    /// Registry of all metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Handles of the controllers.
    pub fn control(&self) -> &ControlPlane {
        &self.control
    }

    /// Waits until an operator requests a planned stop.
    pub async fn drain_requested(&self) {
        self.listeners.drain.cancelled().await;
    }

    /// Stops as planned: accepts no new work, notifies the peers and completes the requests in
    /// progress.
    ///
    /// Returns whether everything ended within `timing.drain` of the settings.
    pub async fn stop(mut self) -> bool {
        let drain = self.ctx.settings.timing.drain;
        let ended = timeout(drain, self.drain()).await.is_ok();
        self.tasks.shutdown().await;
        ended
    }

    async fn drain(&mut self) {
        self.control.health.announce_stop();
        self.control.members.leave().await;
        sleep(UNREADY_NOTICE).await;
        self.listeners.stop_callers.cancel();
        join_listener(&mut self.listeners.callers).await;
        self.shared.wait_for_tasks().await;
        self.control.queue.drain().await;
        self.listeners.stop_peers.cancel();
        join_listener(&mut self.listeners.peers).await;
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.listeners.callers.abort();
        self.listeners.operators.abort();
        self.listeners.peers.abort();
    }
}

fn publish_branches(settings: &Settings, writers: &mut Writers) {
    let mut branches = Arena::default();
    for branch in &settings.branches {
        branches.insert(&branch.name, branch.clone());
    }
    writers.branches.publish(branches);
}

/// Binds the remaining listeners and spawns the tasks of all three.
fn listen(
    ctx: &DaemonContext,
    control: &ControlPlane,
    shared: &Shared<DaemonParts>,
    operator: DaemonOperator,
    peers: TcpListener,
) -> Result<(Listeners, Addresses), DaemonError> {
    let settings = &ctx.settings;
    let entry = Entry::new(shared, &settings.host, ctx.incarnation);
    let caller = CallerContext::new(shared.clone(), entry, settings.limits, ctx.memory.clone());
    let callers = CallerListener::bind(settings.listen.callers, caller, settings.limits);
    let callers = callers.map_err(|source| DaemonError::Bind {
        address: settings.listen.callers.to_string(),
        source,
    })?;
    let drain = operator.drain.clone();
    let operators = OperatorListener::bind(settings.listen.operators, operator);
    let operators = operators.map_err(|source| DaemonError::Bind {
        address: settings.listen.operators.to_string(),
        source,
    })?;
    let addresses = Addresses {
        operators: operators.address().unwrap_or(settings.listen.operators),
        callers: callers.address().unwrap_or(settings.listen.callers),
        peers: local_addr(&peers)?,
    };
    let dispatch = Dispatch::new(control, ctx.board.clone());
    let peers = PeerListener::new(peers, settings.keys.peers.clone(), dispatch);
    let peers = peers.traffic(ctx.traffic.clone());
    let stop_callers = CancellationToken::new();
    let stop_peers = CancellationToken::new();
    let serve_operators = operators.serve(stop_peers.clone());
    let serve_callers = callers.serve(stop_callers.clone(), settings.timing.drain);
    let listeners = Listeners {
        callers: tokio::spawn(log_failure("caller", serve_callers)),
        operators: tokio::spawn(log_failure("operator", serve_operators)),
        peers: tokio::spawn(peers.serve(stop_peers.clone())),
        stop_callers,
        stop_peers,
        drain,
    };
    Ok((listeners, addresses))
}

fn operator(
    ctx: &DaemonContext,
    control: &ControlPlane,
    registry: &Arc<Registry>,
) -> DaemonOperator {
    OperatorContext {
        board: ctx.board.clone(),
        store: control.store.clone(),
        peer: ctx.peer.clone(),
        peer_time: ctx.settings.timing.peer,
        clock: ctx.clock,
        registry: Arc::clone(registry),
        drain: CancellationToken::new(),
        key: ctx.settings.keys.operators.clone(),
        limits: ctx.settings.limits,
    }
}

/// Waits for a listener and logs its failure.
async fn log_failure<F>(listener: &str, serving: F)
where
    F: Future<Output = io::Result<()>>,
{
    if let Err(e) = serving.await {
        log::error!("the {listener} listener failed and accepts no more connections: {e}");
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let bound = border::listen(address, PEER_RECEIVE);
    bound.map_err(|source| DaemonError::Bind {
        address: address.to_string(),
        source,
    })
}

fn local_addr(listener: &TcpListener) -> Result<SocketAddr, DaemonError> {
    let address = listener.local_addr();
    address.map_err(|source| DaemonError::Bind {
        address: "peers".to_owned(),
        source,
    })
}

/// Waits for the task of a listener and logs a panic.
async fn join_listener(task: &mut JoinHandle<()>) {
    if let Err(e) = task.await
        && !e.is_cancelled()
    {
        log::error!("the task of a listener panicked; the planned stop continues: {e}");
    }
}
