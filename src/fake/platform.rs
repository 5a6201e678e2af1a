use {
    super::{
        Outage, PlatformControl, PlatformFaults, PlatformObserved, PlatformSettings,
        platform_routes::routes, platform_state::PlatformState,
    },
    crate::port::HostEntry,
    poem::{
        Server,
        listener::{Acceptor, Listener, TcpAcceptor, TcpListener},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Address used when the settings name none.
const ANY_PORT: &str = "127.0.0.1:0";
/// Time between attempts to open the listener again after an outage.
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// Stand-in of the platform: versioned objects and the lagging host list over HTTP.
///
/// Dropping it stops it.
#[derive(Debug)]
pub struct FakePlatform {
    shared: Arc<Shared>,
    address: SocketAddr,
    server: JoinHandle<()>,
}

/// What the calls of the stand-in share.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<PlatformState>,
    changes: watch::Sender<u64>,
}

impl FakePlatform {
    /// Starts the stand-in on the address of `settings`.
    pub async fn start(settings: PlatformSettings) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(PlatformState::new(&settings)),
            changes: watch::Sender::new(0),
        });
        let address = Some(settings.address).filter(|address| !address.is_empty());
        let address = address.unwrap_or_else(|| ANY_PORT.into());
        let acceptor = TcpListener::bind(address).into_acceptor().await?;
        let address = acceptor.local_addr().first().and_then(|local| {
            let address = local.as_socket_addr()?;
            Some(*address)
        });
        let address = address.ok_or_else(|| io::Error::other("the listener has no address"))?;
        let server = tokio::spawn(serve(Arc::clone(&shared), address, acceptor));
        Ok(Self {
            shared,
            address,
            server,
        })
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Adds or replaces a host.
    pub fn add_host(&self, host: HostEntry) {
        self.control(PlatformControl {
            add_hosts: vec![host],
            ..PlatformControl::default()
        });
    }

    /// Announces that a host leaves.
    pub fn set_leaving(&self, name: &str) {
        self.control(PlatformControl {
            leaving_hosts: vec![name.into()],
            ..PlatformControl::default()
        });
    }

    /// Removes a host.
    pub fn remove_host(&self, name: &str) {
        self.control(PlatformControl {
            remove_hosts: vec![name.into()],
            ..PlatformControl::default()
        });
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.control(PlatformControl {
            outage: Some(outage),
            ..PlatformControl::default()
        });
    }

    /// Changes faults and hosts as the control call does.
    pub fn control(&self, control: PlatformControl) {
        self.shared.control(control);
    }

    /// Faults in force.
    pub fn faults(&self) -> PlatformFaults {
        self.shared.lock().faults.clone()
    }

    /// Calls and faults so far.
    pub fn observed(&self) -> PlatformObserved {
        self.shared.lock().observed
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes waiting watches and calls held up by an outage.
    pub(super) fn wake(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(super) fn control(self: &Arc<Self>, control: PlatformControl) {
        let end = control.outage_ms;
        self.lock().control(control);
        self.wake();
        if let Some(end) = end {
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                sleep(Duration::from_millis(end)).await;
                shared.lock().faults.outage = Outage::None;
                shared.wake();
            });
        }
    }

    /// Waits until the outage is, or is no longer, `outage`.
    pub(super) async fn until(&self, outage: Outage, wanted: bool) {
        let mut changes = self.subscribe();
        while (self.lock().faults.outage == outage) != wanted {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Serves until aborted; closes the listener for the time of an outage of kind `Refuse`.
async fn serve(shared: Arc<Shared>, address: SocketAddr, acceptor: TcpAcceptor) {
    let mut acceptor = Some(acceptor);
    loop {
        shared.until(Outage::Refuse, false).await;
        let open = match acceptor.take() {
            Some(open) => open,
            None => reopen(address).await,
        };
        let server = Server::new_with_acceptor(open);
        let closed = shared.until(Outage::Refuse, true);
        let app = routes(Arc::clone(&shared));
        let stop = server.run_with_graceful_shutdown(app, closed, Some(Duration::ZERO));
        if let Err(e) = stop.await {
            log::error!("the platform's stand-in failed: {e}");
        }
    }
}

async fn reopen(address: SocketAddr) -> TcpAcceptor {
    loop {
        match timeout(REBIND_DELAY, TcpListener::bind(address).into_acceptor()).await {
            Ok(Ok(acceptor)) => return acceptor,
            Ok(Err(_)) | Err(_) => sleep(REBIND_DELAY).await,
        }
    }
}
