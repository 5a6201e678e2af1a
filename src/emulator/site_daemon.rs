use {
    super::SiteError,
    crate::{
        board::Blackboard,
        border::Settings,
        daemon::{Addresses, ControlPlane, Daemon},
    },
    std::io,
    tokio::runtime::{Builder, Runtime},
};

/// Threads of each daemon's runtime.
const DAEMON_THREADS: usize = 2;

/// A daemon on a runtime of its own. Dropping it is a crash: none of its cleanup runs.
#[derive(Debug)]
pub struct SiteDaemon {
    // The runtime goes first, so that what the daemon drops can start nothing any more.
    runtime: AbruptRuntime,
    daemon: Daemon,
}

/// Runtime that ends at once when it is dropped, also in an asynchronous context.
#[derive(Debug)]
struct AbruptRuntime(Option<Runtime>);

impl Drop for AbruptRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl SiteDaemon {
    /// Starts a daemon and returns when its listeners are bound.
    pub async fn start(settings: Settings) -> Result<Self, SiteError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(DAEMON_THREADS)
            .thread_name(&settings.host)
            .enable_all()
            .build()?;
        let starting = runtime.spawn(async move { Daemon::start(&settings).await });
        let runtime = AbruptRuntime(Some(runtime));
        let daemon = starting.await.map_err(io::Error::other)??;
        Ok(Self { runtime, daemon })
    }

    /// Addresses of the listeners.
    pub fn addresses(&self) -> Addresses {
        self.daemon.addresses()
    }

    /// The blackboard.
    pub fn board(&self) -> &Blackboard {
        self.daemon.board()
    }

    /// Handles of the controllers.
    pub fn control(&self) -> &ControlPlane {
        self.daemon.control()
    }

    /// Stops as planned; returns whether every request in progress ended in time.
    pub async fn stop(self) -> bool {
        let Self { runtime, daemon } = self;
        let AbruptRuntime(Some(inner)) = &runtime else {
            return false;
        };
        let stopping = inner.spawn(daemon.stop());
        stopping.await.unwrap_or(false)
    }
}
