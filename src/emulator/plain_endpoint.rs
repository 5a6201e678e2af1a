use {
    super::PlainChoice,
    crate::{
        border::EngineClient,
        port::{Engine, LoadReport},
    },
    rand::random_range,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Interval at which a plain router reads load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// An endpoint as one host of a plain router sees it.
#[derive(Debug)]
pub(super) struct PlainEndpoint {
    /// Address.
    pub(super) address: String,
    reported: AtomicU32,
    sent: AtomicU32,
}

impl PlainEndpoint {
    /// An endpoint without any report.
    pub(super) fn new(address: String) -> Self {
        Self {
            address,
            reported: AtomicU32::new(0),
            sent: AtomicU32::new(0),
        }
    }

    /// Chooses one of `endpoints` and counts the request that goes there.
    pub(super) fn choose(endpoints: &[Arc<Self>], choice: PlainChoice) -> Option<&Self> {
        let load = |endpoint: &Arc<Self>| match choice {
            PlainChoice::Random => 0,
            PlainChoice::LeastLoaded => endpoint.load(),
        };
        let draw = |_: &Arc<Self>| random_range(0..u32::MAX);
        let chosen = endpoints.iter().min_by_key(|one| (load(one), draw(one)))?;
        chosen.sent.fetch_add(1, Ordering::Relaxed);
        Some(chosen)
    }

    /// Reads load reports until it is aborted.
    pub(super) async fn follow(self: Arc<Self>, engine: EngineClient) {
        loop {
            if let Ok(report) = engine.load(&self.address).await {
                self.take(&report);
            }
            sleep(REPORT_INTERVAL).await;
        }
    }

    fn take(&self, report: &LoadReport) {
        let load = report.running + report.waiting;
        self.reported.store(load, Ordering::Relaxed);
        self.sent.store(0, Ordering::Relaxed);
    }

    fn load(&self) -> u32 {
        self.reported.load(Ordering::Relaxed) + self.sent.load(Ordering::Relaxed)
    }
}
