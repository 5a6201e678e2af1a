use {
    super::{
        Outage, PlatformControl, PlatformFaults, PlatformObserved, PlatformSettings,
        held_address::HeldAddress, platform_routes::routes, platform_state::PlatformState,
    },
    crate::port::HostEntry,
    poem::{Server, listener::TcpAcceptor},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, task::JoinHandle, time::sleep},
};

/// Address to listen on if the settings name none; the system picks the port.
const DEFAULT_ADDRESS: &str = "127.0.0.1:0";

/// Fake platform: versioned objects and a host list that may lag, over HTTP.
///
/// Dropping it stops it.
#[derive(Debug)]
pub struct FakePlatform {
    shared: Arc<PlatformCore>,
    address: SocketAddr,
    server: JoinHandle<()>,
}

/// State that the handlers of a fake platform share.
#[derive(Debug)]
pub(super) struct PlatformCore {
    state: Mutex<PlatformState>,
    changes: watch::Sender<u64>,
}

impl FakePlatform {
    /// Starts the platform on the address of `settings`.
    ///
    /// Fails if the listener cannot be opened.
    pub async fn start(settings: PlatformSettings) -> io::Result<Self> {
        let shared = Arc::new(PlatformCore {
            state: Mutex::new(PlatformState::new(&settings)),
            changes: watch::Sender::new(0),
        });
        let address = Some(settings.address).filter(|address| !address.is_empty());
        let address = address.unwrap_or_else(|| DEFAULT_ADDRESS.into());
        let held = HeldAddress::bind(&address).await?;
        let (address, acceptor) = (held.address(), held.listen()?);
        let server = tokio::spawn(serve(Arc::clone(&shared), held, acceptor));
        Ok(Self {
            shared,
            address,
            server,
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Adds a host, or replaces the one of the same name.
    pub fn add_host(&self, host: HostEntry) {
        self.control(PlatformControl {
            add_hosts: vec![host],
            ..PlatformControl::default()
        });
    }

    /// Marks a host as leaving; does nothing if it is not listed.
    pub fn set_leaving(&self, name: &str) {
        self.control(PlatformControl {
            leaving_hosts: vec![name.into()],
            ..PlatformControl::default()
        });
    }

    /// Removes a host from the list.
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

    /// Changes the faults and hosts, as the HTTP control call does.
    pub fn control(&self, control: PlatformControl) {
        self.shared.control(control);
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> PlatformFaults {
        self.shared.lock().faults.clone()
    }

    /// Returns the number of calls and injected faults so far.
    pub fn observed(&self) -> PlatformObserved {
        self.shared.lock().observed
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl PlatformCore {
    pub(super) fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes waiting watches and calls that wait for the end of an outage.
    pub(super) fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Changes the faults and hosts; ends the outage after `outage_ms` if that is set.
    pub(super) fn control(self: &Arc<Self>, control: PlatformControl) {
        let end_ms = control.outage_ms;
        self.lock().control(control);
        self.notify();
        if let Some(end_ms) = end_ms {
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                sleep(Duration::from_millis(end_ms)).await;
                shared.lock().faults.outage = Outage::None;
                shared.notify();
            });
        }
    }

    /// Waits until the outage is `outage`, or is another one if `wanted` is false.
    pub(super) async fn wait_outage(&self, outage: Outage, wanted: bool) {
        let mut changes = self.subscribe();
        while (self.lock().faults.outage == outage) != wanted {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Serves until aborted; the listener is closed during an outage of kind `Refuse`.
async fn serve(shared: Arc<PlatformCore>, address: HeldAddress, acceptor: TcpAcceptor) {
    let mut acceptor = Some(acceptor);
    loop {
        shared.wait_outage(Outage::Refuse, false).await;
        let open = match acceptor.take() {
            Some(open) => open,
            None => address.reopen().await,
        };
        let server = Server::new_with_acceptor(open);
        let closed = shared.wait_outage(Outage::Refuse, true);
        let app = routes(Arc::clone(&shared));
        let stop = server.run_with_graceful_shutdown(app, closed, Some(Duration::ZERO));
        if let Err(e) = stop.await {
            log::error!("fake platform: HTTP server failed; it is started again: {e}");
        }
    }
}
