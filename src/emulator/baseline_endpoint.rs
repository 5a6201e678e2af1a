use {
    super::BaselinePolicy,
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

/// Interval at which the baseline router polls load reports; its view of the load lags by
/// up to this time.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// An endpoint as one host of the baseline router sees it.
#[derive(Debug)]
pub(super) struct BaselineEndpoint {
    /// Host and port.
    pub(super) address: String,
    /// Running and waiting requests by the last load report.
    reported: AtomicU32,
    /// Requests that this host has sent since the last load report.
    sent: AtomicU32,
}

impl BaselineEndpoint {
    /// Creates an endpoint without any load report.
    pub(super) fn new(address: String) -> Self {
        Self {
            address,
            reported: AtomicU32::new(0),
            sent: AtomicU32::new(0),
        }
    }

    /// Chooses one of `endpoints` by `policy` and counts the request as sent to it; none if there
    /// are no endpoints. Ties are broken at random.
    pub(super) fn choose(endpoints: &[Arc<Self>], policy: BaselinePolicy) -> Option<&Self> {
        let load = |endpoint: &Arc<Self>| match policy {
            BaselinePolicy::Random => 0,
            BaselinePolicy::LeastLoaded => endpoint.load(),
        };
        let tie_break = |_: &Arc<Self>| random_range(0..u32::MAX);
        let chosen = endpoints
            .iter()
            .min_by_key(|endpoint| (load(endpoint), tie_break(endpoint)))?;
        chosen.sent.fetch_add(1, Ordering::Relaxed);
        Some(chosen)
    }

    /// Polls the endpoint's load reports until the task is aborted; a failed poll keeps the last
    /// report.
    pub(super) async fn poll_load(self: Arc<Self>, engine: EngineClient) {
        loop {
            if let Ok(report) = engine.load(&self.address).await {
                self.store_report(&report);
            }
            sleep(REPORT_INTERVAL).await;
        }
    }

    /// Stores the reported load and resets the count of requests sent since.
    fn store_report(&self, report: &LoadReport) {
        let load = report.running + report.waiting;
        self.reported.store(load, Ordering::Relaxed);
        self.sent.store(0, Ordering::Relaxed);
    }

    /// Estimated number of running and waiting requests.
    fn load(&self) -> u32 {
        self.reported.load(Ordering::Relaxed) + self.sent.load(Ordering::Relaxed)
    }
}
