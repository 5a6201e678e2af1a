use {
    super::{Caller, LoadItem, Observation, Site, Trace},
    reqwest::Client,
    std::time::Duration,
};

/// Time that a caller waits for its answer.
pub(super) const PATIENCE: Duration = Duration::from_mins(1);

/// What answers the requests of a load.
pub trait Router: Clone + Send + Sync + 'static {
    /// Sends the request with the given number and returns what its caller saw.
    fn send(&self, number: usize, item: &LoadItem) -> impl Future<Output = Observation> + Send;
}

/// Sends requests to the daemons of a site in turn.
#[derive(Clone, Debug)]
pub struct DaemonRouter {
    caller: Caller,
    addresses: Vec<String>,
    model: &'static str,
}

impl DaemonRouter {
    /// Uses the running daemons of `site`.
    pub fn new(site: &Site, trace: &Trace) -> Self {
        let addresses = site.addresses();
        Self {
            caller: Caller::new(Client::new(), PATIENCE),
            addresses: addresses.iter().map(ToString::to_string).collect(),
            model: trace.header.profile.model().0,
        }
    }
}

impl Router for DaemonRouter {
    async fn send(&self, number: usize, item: &LoadItem) -> Observation {
        let address = &self.addresses[number % self.addresses.len()];
        let key = Site::branch_key(&item.branch);
        self.caller.send(address, &key, self.model, item).await
    }
}
