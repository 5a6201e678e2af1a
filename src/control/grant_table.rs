use {
    super::line_mail::Ticket,
    crate::{
        board::{EndpointSlot, Role, Tick},
        key::{AttemptId, EndpointKey, GrantKey},
    },
    slotmap::SlotMap,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::task::AbortHandle,
};

/// One grant of endpoint memory. Dropping it without `GrantTable::remove` would leak the memory.
#[derive(Debug)]
pub(super) struct GrantEntry {
    /// Attempt that holds the place.
    pub(super) attempt: AttemptId,
    /// Endpoint.
    pub(super) endpoint: EndpointKey,
    /// Address of the endpoint, kept because the endpoint may leave the fleet first.
    pub(super) address: String,
    /// Counters that the memory was taken from.
    pub(super) slot: Arc<EndpointSlot>,
    /// Role of the place.
    pub(super) role: Role,
    /// Pieces taken.
    pub(super) pieces: u32,
    /// Call that was answered with the grant; none for a grant taken over from another owner.
    pub(super) ticket: Option<Ticket>,
    /// When it was given.
    pub(super) since: Tick,
    /// Predicted time to compute the uncached prompt, for prefill; zero once it is computed.
    pub(super) work: Duration,
    /// Prefixes that the prompt leaves in the endpoint's cache, for prefill.
    pub(super) prefixes: Vec<u64>,
    /// Whether the request may have crashed an endpoint.
    pub(super) suspect: bool,
    /// When a load report last listed the attempt.
    pub(super) seen: Option<Tick>,
    /// Task that cancels the orphan at the endpoint.
    pub(super) cancel: Option<AbortHandle>,
}

/// Grants of this owner: an arena with indices by attempt and by call.
#[derive(Debug, Default)]
pub(super) struct GrantTable {
    entries: SlotMap<GrantKey, GrantEntry>,
    by_place: HashMap<(AttemptId, EndpointKey), GrantKey>,
    by_ticket: HashMap<Ticket, GrantKey>,
}

impl GrantTable {
    /// Adds a grant whose memory has been taken.
    pub(super) fn insert(&mut self, entry: GrantEntry) -> GrantKey {
        let place = (entry.attempt, entry.endpoint);
        let ticket = entry.ticket;
        let key = self.entries.insert(entry);
        self.by_place.insert(place, key);
        if let Some(ticket) = ticket {
            self.by_ticket.insert(ticket, key);
        }
        key
    }

    /// Removes a grant and gives its memory back.
    pub(super) fn remove(&mut self, key: GrantKey) -> Option<GrantEntry> {
        let entry = self.entries.remove(key)?;
        self.by_place.remove(&(entry.attempt, entry.endpoint));
        if let Some(ticket) = entry.ticket {
            self.by_ticket.remove(&ticket);
        }
        if let Some(cancel) = &entry.cancel {
            cancel.abort();
        }
        entry.slot.give_back(entry.pieces);
        Some(entry)
    }

    /// Returns a grant.
    pub(super) fn get(&self, key: GrantKey) -> Option<&GrantEntry> {
        self.entries.get(key)
    }

    /// Returns a grant for editing.
    pub(super) fn get_mut(&mut self, key: GrantKey) -> Option<&mut GrantEntry> {
        self.entries.get_mut(key)
    }

    /// Returns the grant of `attempt` at `endpoint`.
    pub(super) fn find(&self, attempt: AttemptId, endpoint: EndpointKey) -> Option<GrantKey> {
        self.by_place.get(&(attempt, endpoint)).copied()
    }

    /// Returns the grant that answered the call.
    pub(super) fn answered(&self, ticket: Ticket) -> Option<GrantKey> {
        self.by_ticket.get(&ticket).copied()
    }

    /// Returns the keys of all grants that `wanted` accepts.
    pub(super) fn select<F>(&self, wanted: F) -> Vec<GrantKey>
    where
        F: Fn(&GrantEntry) -> bool,
    {
        let accepted = self.entries.iter().filter(|(_, entry)| wanted(entry));
        accepted.map(|(key, _)| key).collect()
    }

    /// Iterates over the grants.
    pub(super) fn iter(&self) -> impl Iterator<Item = &GrantEntry> {
        self.entries.values()
    }
}
