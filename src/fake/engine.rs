use {
    super::{
        EngineControl, EngineObserved, EngineSettings, endpoint_server::serve,
        engine_batch::run_batches, engine_core::EngineCore, engine_routes::routes,
        held_address::HeldAddress,
    },
    crate::{border::http_client, port::Description},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
};

/// Timeout for connecting to another engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Fake model engine with the HTTP interface of docs/ENDPOINTS.md.
///
/// It generates deterministic text, simulates the timing of continuous batching and injects faults.
/// Dropping it stops it.
#[derive(Debug)]
pub struct FakeEngine {
    core: Arc<EngineCore>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl FakeEngine {
    /// Starts the engine on the address of `settings`.
    ///
    /// Fails if the listener cannot be opened or the HTTP client cannot be built.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let held = HeldAddress::bind(&settings.address).await?;
        let (address, acceptor) = (held.address(), held.listen()?);
        let client = http_client(CONNECT_TIMEOUT).map_err(io::Error::other)?;
        let interval = settings.scaled_ms(settings.load_ms);
        let core = Arc::new(EngineCore::new(settings, address.to_string(), client));
        let shared = Arc::clone(&core);
        let app = move || routes(Arc::clone(&shared));
        let mut tasks = vec![
            tokio::spawn(serve(held, acceptor, core.down.subscribe(), app)),
            tokio::spawn(run_batches(Arc::clone(&core))),
        ];
        if !interval.is_zero() {
            tasks.push(tokio::spawn(publish_loads(Arc::clone(&core), interval)));
        }
        Ok(Self {
            core,
            address,
            tasks,
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults and the draining state, or dies, as the HTTP control call does.
    pub fn control(&self, control: &EngineControl) {
        self.core.control(control);
    }

    /// Returns the record of attempts since the start.
    pub fn observed(&self) -> EngineObserved {
        self.core.lock().observed()
    }

    /// Returns the description that the describe call responds with.
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

/// Publishes the load report once per interval.
async fn publish_loads(core: Arc<EngineCore>, interval: Duration) {
    loop {
        core.lock().publish();
        sleep(interval).await;
    }
}
