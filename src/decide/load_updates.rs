use {
    crate::{
        board::{Endpoint, Fleet, Owners, Role, Tick},
        key::{EndpointKey, HostKey, name_hash},
        port::EndpointUpdate,
    },
    slotmap::SecondaryMap,
    std::{cmp::Reverse, time::Duration},
};

/// Maximum number of endpoints whose load is sent in one heartbeat.
const MAX_LOADS: usize = 16;

/// Time after which the load of an endpoint is sent again although it has not changed.
const RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Chooses the loads of owned endpoints to send in a heartbeat, those with the largest change first.
#[derive(Clone, Debug, Default)]
pub struct LoadUpdates {
    sent: SecondaryMap<EndpointKey, SentLoad>,
}

/// Load of an endpoint that was last sent, and when.
#[derive(Clone, Debug)]
struct SentLoad {
    load: EndpointUpdate,
    sent_at: Tick,
}

impl LoadUpdates {
    /// Returns at most `MAX_LOADS` loads of endpoints that the host `own` owns: those that have changed
    /// or that are due to be sent again.
    pub fn choose(
        &mut self,
        fleet: &Fleet,
        owners: &Owners,
        own: HostKey,
        now: Tick,
    ) -> Vec<EndpointUpdate> {
        self.sent
            .retain(|key, _| owners.by_endpoint.get(key).is_some_and(|o| o.owner == own));
        let owned = owners.by_endpoint.iter().filter(|(_, o)| o.owner == own);
        let mut due = Vec::new();
        for (key, _) in owned {
            let Some(endpoint) = fleet.endpoints.get(key) else {
                continue;
            };
            let load = load_of(endpoint);
            let change = self.change(key, &load, now);
            if change > 0 {
                due.push((Reverse(change), key, load));
            }
        }
        due.sort_unstable_by_key(|(change, key, _)| (*change, *key));
        due.truncate(MAX_LOADS);
        for (_, key, load) in &due {
            let load = load.clone();
            self.sent.insert(*key, SentLoad { load, sent_at: now });
        }
        due.into_iter().map(|(_, _, load)| load).collect()
    }

    /// Returns how much the load differs from the one last sent, in pieces and requests.
    ///
    /// A load that was never sent counts as the largest change; one that is due to be sent again
    /// counts as at least 1.
    fn change(&self, key: EndpointKey, load: &EndpointUpdate, now: Tick) -> u32 {
        let Some(sent) = self.sent.get(key) else {
            return u32::MAX;
        };
        let is_due = now.since(sent.sent_at) >= RESEND_INTERVAL;
        let change = sent.load.free.abs_diff(load.free)
            + sent.load.running.abs_diff(load.running)
            + sent.load.waiting.abs_diff(load.waiting);
        change.max(u32::from(is_due))
    }
}

fn load_of(endpoint: &Endpoint) -> EndpointUpdate {
    let counters = &endpoint.counters;
    let free = if endpoint.role == Role::Service {
        endpoint.slots.saturating_sub(counters.running())
    } else {
        let held = counters.granted().max(counters.used_pieces());
        endpoint.pieces.saturating_sub(held)
    };
    EndpointUpdate {
        endpoint: name_hash(&endpoint.name),
        free,
        running: counters.running(),
        waiting: counters.waiting(),
    }
}
