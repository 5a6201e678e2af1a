use {
    super::{Caller, LoadItem, Observation, Site, Trace},
    reqwest::Client,
    std::time::Duration,
};

/// Time after which a caller records a request that has not ended as lost.
pub(super) const CALLER_TIMEOUT: Duration = Duration::from_mins(1);

/// Router under test: handles the requests of a load.
pub trait Router: Clone + Send + Sync + 'static {
    /// Sends the request with this index in the load and returns what its caller observed.
    fn send(&self, number: usize, item: &LoadItem) -> impl Future<Output = Observation> + Send;
}

/// Sends requests to the daemons of a site in turn, over HTTP.
#[derive(Clone, Debug)]
pub struct DaemonRouter {
    caller: Caller,
    addresses: Vec<String>,
    model: &'static str,
}

impl DaemonRouter {
    /// Creates a router over the running daemons of `site`.
    pub fn new(site: &Site, trace: &Trace) -> Self {
        let addresses = site.addresses();
        Self {
            caller: Caller::new(Client::new(), CALLER_TIMEOUT),
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
