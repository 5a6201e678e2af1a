use {
    super::{
        EngineControl, EngineObserved, EngineSettings,
        engine_batch::run_batches,
        engine_core::EngineCore,
        engine_routes::routes,
        uptime::{bind, serve},
    },
    crate::{border::http_client, port::Description},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
};

/// Time to connect to another engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Stand-in of a model engine, see docs/ENDPOINTS.md. Dropping it stops it.
#[derive(Debug)]
pub struct FakeEngine {
    core: Arc<EngineCore>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl FakeEngine {
    /// Starts the stand-in on the address of `settings`.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let (address, acceptor) = bind(&settings.address).await?;
        let client = http_client(CONNECT_TIMEOUT).map_err(io::Error::other)?;
        let interval = settings.scaled_ms(settings.load_ms);
        let core = Arc::new(EngineCore::new(settings, address.to_string(), client));
        let shared = Arc::clone(&core);
        let app = move || routes(Arc::clone(&shared));
        let mut tasks = vec![
            tokio::spawn(serve(address, acceptor, core.down.subscribe(), app)),
            tokio::spawn(run_batches(Arc::clone(&core))),
        ];
        if !interval.is_zero() {
            tasks.push(tokio::spawn(report(Arc::clone(&core), interval)));
        }
        Ok(Self {
            core,
            address,
            tasks,
        })
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes faults and the leaving state, or dies, as the control call does.
    pub fn control(&self, control: &EngineControl) {
        self.core.control(control);
    }

    /// What the stand-in saw.
    pub fn observed(&self) -> EngineObserved {
        self.core.lock().observed()
    }

    /// Static description as the describe call answers it.
    pub fn description(&self) -> Description {
        self.core.lock().description()
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Publishes the load at every interval.
async fn report(core: Arc<EngineCore>, interval: Duration) {
    loop {
        core.lock().publish();
        sleep(interval).await;
    }
}
