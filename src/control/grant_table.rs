use {
    super::queue_message::CallId,
    crate::{
        board::{EndpointCounters, Role, Tick},
        key::{AttemptId, EndpointKey, GrantKey},
    },
    slotmap::SlotMap,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::task::AbortHandle,
};

/// One grant of endpoint memory, or of a slot at a service.
///
/// Only `GrantTable::remove` releases the memory; an entry that is dropped otherwise leaks it.
#[derive(Debug)]
pub(super) struct GrantEntry {
    /// Attempt that holds the grant.
    pub(super) attempt: AttemptId,
    /// Endpoint whose memory is granted.
    pub(super) endpoint: EndpointKey,
    /// Address of the endpoint, kept because the endpoint may be removed from the fleet first.
    pub(super) address: String,
    /// Counters in which the memory is accounted for.
    pub(super) counters: Arc<EndpointCounters>,
    /// Role of the endpoint.
    pub(super) role: Role,
    /// Pieces held; 1 for a service.
    pub(super) pieces: u32,
    /// Call that received the grant; none for a grant taken over from another owner.
    pub(super) call: Option<CallId>,
    /// When the memory was granted or taken over.
    pub(super) granted_at: Tick,
    /// Predicted time to compute the uncached prompt, for prefill; zero once it is computed.
    pub(super) prefill_time: Duration,
    /// Prefixes that the prompt leaves in the endpoint's cache, for prefill.
    pub(super) prefixes: Vec<u64>,
    /// Whether the request may have crashed an endpoint.
    pub(super) suspect: bool,
    /// When a load report last listed the attempt.
    pub(super) last_listed: Option<Tick>,
    /// Task that cancels the attempt at the endpoint, once the grant is an orphan.
    pub(super) cancel: Option<AbortHandle>,
}

/// Grants of this owner: an arena with indices by attempt and by call.
#[derive(Debug, Default)]
pub(super) struct GrantTable {
    entries: SlotMap<GrantKey, GrantEntry>,
    by_attempt: HashMap<(AttemptId, EndpointKey), GrantKey>,
    by_call: HashMap<CallId, GrantKey>,
}

impl GrantTable {
    /// Adds a grant whose memory has already been acquired from its `counters`.
    pub(super) fn insert(&mut self, entry: GrantEntry) -> GrantKey {
        let holder = (entry.attempt, entry.endpoint);
        let call = entry.call;
        let key = self.entries.insert(entry);
        self.by_attempt.insert(holder, key);
        if let Some(call) = call {
            self.by_call.insert(call, key);
        }
        key
    }

    /// Removes a grant, stops its cancel task and releases its memory; `None` if there is none.
    pub(super) fn remove(&mut self, key: GrantKey) -> Option<GrantEntry> {
        let entry = self.entries.remove(key)?;
        self.by_attempt.remove(&(entry.attempt, entry.endpoint));
        if let Some(call) = entry.call {
            self.by_call.remove(&call);
        }
        if let Some(cancel) = &entry.cancel {
            cancel.abort();
        }
        entry.counters.release(entry.pieces);
        Some(entry)
    }

    /// Returns a grant, or `None` if it has ended.
    pub(super) fn get(&self, key: GrantKey) -> Option<&GrantEntry> {
        self.entries.get(key)
    }

    /// Returns a grant for editing, or `None` if it has ended.
    pub(super) fn get_mut(&mut self, key: GrantKey) -> Option<&mut GrantEntry> {
        self.entries.get_mut(key)
    }

    /// Returns the key of the grant that `attempt` holds at `endpoint`.
    pub(super) fn find(&self, attempt: AttemptId, endpoint: EndpointKey) -> Option<GrantKey> {
        self.by_attempt.get(&(attempt, endpoint)).copied()
    }

    /// Returns the key of the grant that the call received.
    pub(super) fn find_by_call(&self, call: CallId) -> Option<GrantKey> {
        self.by_call.get(&call).copied()
    }

    /// Returns the keys of all grants for which `matches` holds.
    pub(super) fn select<F>(&self, matches: F) -> Vec<GrantKey>
    where
        F: Fn(&GrantEntry) -> bool,
    {
        let matching = self.entries.iter().filter(|(_, entry)| matches(entry));
        matching.map(|(key, _)| key).collect()
    }

    /// Iterates over the grants in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &GrantEntry> {
        self.entries.values()
    }
}
