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

/// Number of worker threads in each daemon's runtime.
const DAEMON_THREADS: usize = 2;

/// A daemon on a runtime of its own. Dropping it emulates a crash: none of the daemon's cleanup
/// runs.
#[derive(Debug)]
pub struct SiteDaemon {
    // Fields drop in this order: the runtime shuts down first, so that dropping the daemon cannot
    // start any more tasks.
    runtime: AbruptRuntime,
    daemon: Daemon,
}

/// Runtime that shuts down without waiting when it is dropped, which is also allowed in an
/// asynchronous context; `None` only during the drop.
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
    /// Starts a daemon and returns when its listeners are bound. Fails if the runtime or the daemon
    /// does not start.
    pub async fn start(settings: Settings) -> Result<Self, SiteError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(DAEMON_THREADS)
            .thread_name(&settings.host)
            .enable_all()
            .build()?;
        let starting = runtime.spawn(async move { Daemon::start(&settings) });
        let runtime = AbruptRuntime(Some(runtime));
        let daemon = starting.await.map_err(io::Error::other)??;
        Ok(Self { runtime, daemon })
    }

    /// Addresses of the daemon's listeners.
    pub fn addresses(&self) -> Addresses {
        self.daemon.addresses()
    }

    /// Blackboard of the daemon.
    pub fn board(&self) -> &Blackboard {
        self.daemon.board()
    }

    /// Handles of the daemon's controllers.
    pub fn control(&self) -> &ControlPlane {
        self.daemon.control()
    }

    /// Shuts the daemon down gracefully; returns whether every request in progress ended in time.
    pub async fn stop(self) -> bool {
        let Self { runtime, daemon } = self;
        let AbruptRuntime(Some(inner)) = &runtime else {
            return false;
        };
        let stopping = inner.spawn(daemon.stop());
        stopping.await.unwrap_or(false)
    }
}
