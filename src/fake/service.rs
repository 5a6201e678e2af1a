use {
    super::{
        ServiceControl, ServiceObserved, ServiceSettings, endpoint_server::serve, fault::FaultPlan,
        held_address::HeldAddress, service_routes::routes,
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, task::JoinHandle, time::sleep},
};

/// Shortest time for which the listener stays closed after a death, so that clients notice it.
const MIN_DOWN_TIME: Duration = Duration::from_millis(20);

/// Fake service with the HTTP interface of docs/ENDPOINTS.md.
///
/// It echoes each call, records it by idempotency key and injects faults. Dropping it stops it.
#[derive(Debug)]
pub struct FakeService {
    core: Arc<ServiceCore>,
    address: SocketAddr,
    server: JoinHandle<()>,
}

/// State that the handlers of a fake service share.
#[derive(Debug)]
pub(super) struct ServiceCore {
    /// Settings of the service.
    pub settings: ServiceSettings,
    down: watch::Sender<bool>,
    state: Mutex<ServiceState>,
}

/// Faults in force and the record of calls of a fake service.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// Faults in force.
    pub faults: FaultPlan,
    /// Record of calls since the start.
    pub observed: ServiceObserved,
}

impl FakeService {
    /// Starts the service on the address of `settings`.
    ///
    /// Fails if the listener cannot be opened.
    pub async fn start(settings: ServiceSettings) -> io::Result<Self> {
        let held = HeldAddress::bind(&settings.address).await?;
        let (address, acceptor) = (held.address(), held.listen()?);
        let core = Arc::new(ServiceCore::new(settings));
        let shared = Arc::clone(&core);
        let app = move || routes(Arc::clone(&shared));
        let server = tokio::spawn(serve(held, acceptor, core.down.subscribe(), app));
        Ok(Self {
            core,
            address,
            server,
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults, as the HTTP control call does.
    pub fn control(&self, control: &ServiceControl) {
        self.core.control(control);
    }

    /// Returns the record of calls since the start.
    pub fn observed(&self) -> ServiceObserved {
        self.core.lock().observed.clone()
    }
}

impl Drop for FakeService {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl ServiceCore {
    fn new(settings: ServiceSettings) -> Self {
        let faults = FaultPlan::new(settings.faults.clone(), settings.seed);
        Self {
            settings,
            down: watch::Sender::new(false),
            state: Mutex::new(ServiceState {
                faults,
                observed: ServiceObserved::default(),
            }),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the faults in force.
    pub(super) fn control(&self, control: &ServiceControl) {
        let mut state = self.lock();
        if control.clear {
            state.faults.clear();
        }
        for fault in &control.faults {
            state.faults.add(fault.clone());
        }
    }

    /// Closes all connections and the listener; opens the listener again after `down_ms`.
    pub(super) fn die(self: &Arc<Self>) {
        self.lock().observed.deaths += 1;
        self.down.send_replace(true);
        let core = Arc::clone(self);
        tokio::spawn(async move {
            let down = core.settings.scaled_ms(core.settings.down_ms);
            sleep(down.max(MIN_DOWN_TIME)).await;
            core.down.send_replace(false);
        });
    }
}
