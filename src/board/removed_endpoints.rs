use {
    super::{Endpoint, EndpointCounters},
    std::{collections::VecDeque, sync::Arc},
};

/// Most removed endpoints that are remembered; the oldest ones make room.
const MAX_REMOVED: usize = 1_024;

/// Endpoints that were removed from the fleet, whose entries may only have expired.
#[derive(Clone, Debug, Default)]
pub struct RemovedEndpoints {
    entries: VecDeque<RemovedEndpoint>,
}

/// An endpoint that was removed from the fleet.
#[derive(Clone, Debug)]
struct RemovedEndpoint {
    name: String,
    address: String,
    counters: Arc<EndpointCounters>,
}

impl RemovedEndpoints {
    /// Remembers `endpoint`, which has been removed.
    pub fn push(&mut self, endpoint: Endpoint) {
        if self.entries.len() == MAX_REMOVED {
            self.entries.pop_front();
        }
        self.entries.push_back(RemovedEndpoint {
            name: endpoint.name,
            address: endpoint.address,
            counters: endpoint.counters,
        });
    }

    /// Removes and returns the counters of the endpoint `name`, if it was removed from `address`.
    pub fn take(&mut self, name: &str, address: &str) -> Option<Arc<EndpointCounters>> {
        let mut entries = self.entries.iter();
        let found = entries.position(|entry| entry.name == name && entry.address == address)?;
        let entry = self.entries.remove(found)?;
        Some(entry.counters)
    }
}
