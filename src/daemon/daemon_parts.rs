use {
    super::{ControlPlane, DaemonContext},
    crate::{
        border::{EngineClient, PeerClient, ServiceClient},
        control::{ClaimRouter, QueueHandle, SuspectHandle},
        port::MonoClock,
        request::Parts,
    },
};

/// Implementations of the ports that the request path of a daemon uses.
#[derive(Clone, Debug)]
pub struct DaemonParts {
    /// Monotonic clock of the process.
    pub clock: MonoClock,
    /// Client of the model engines, over HTTP.
    pub engine: EngineClient,
    /// Client of the plain services, over HTTP.
    pub service: ServiceClient,
    /// Queues of the endpoints owned here.
    pub queue: QueueHandle,
    /// Client of the other daemons, over HTTP/2.
    pub peer: PeerClient,
    /// Claims of at-most-once requests.
    pub claimer: ClaimRouter<PeerClient, MonoClock>,
    /// Receives reports of endpoint crashes.
    pub suspicions: SuspectHandle,
}

impl DaemonParts {
    /// Clones the clients of `ctx` and the handles of `control`.
    pub fn new(ctx: &DaemonContext, control: &ControlPlane) -> Self {
        Self {
            clock: ctx.clock,
            engine: ctx.engine.clone(),
            service: ctx.service.clone(),
            queue: control.queue.clone(),
            peer: ctx.peer.clone(),
            claimer: control.claimer.clone(),
            suspicions: control.suspicions.clone(),
        }
    }
}

impl Parts for DaemonParts {
    type Clock = MonoClock;
    type Engine = EngineClient;
    type Service = ServiceClient;
    type Queue = QueueHandle;
    type Peer = PeerClient;
    type Claimer = ClaimRouter<PeerClient, MonoClock>;

    fn clock(&self) -> &MonoClock {
        &self.clock
    }

    fn engine(&self) -> &EngineClient {
        &self.engine
    }

    fn service(&self) -> &ServiceClient {
        &self.service
    }

    fn queue(&self) -> &QueueHandle {
        &self.queue
    }

    fn peer(&self) -> &PeerClient {
        &self.peer
    }

    fn claimer(&self) -> &Self::Claimer {
        &self.claimer
    }

    fn suspicions(&self) -> &SuspectHandle {
        &self.suspicions
    }
}
