//! Ends grants, samples their service times and finds orphans.
//!
//! An orphan is a grant that its request no longer releases, although the attempt may still run at
//! the endpoint: for example, the response broke off, or the entry host (the host that accepted the
//! request) has died or restarted.

use {
    super::{
        endpoint_view::EndpointView, grant_table::GrantEntry, queue_snapshot::QueueSnapshot,
        queue_state::QueueState,
    },
    crate::{
        board::{Blackboard, HostState, Members, Role, Tick},
        key::{GrantKey, name_hash},
        port::{GrantEnd, GrantRelease},
    },
    std::{collections::HashMap, time::Duration},
};

impl QueueState {
    /// Applies a release to the grant that it names; a release of an unknown grant is ignored.
    pub(super) fn release(&mut self, board: &Blackboard, release: &GrantRelease, now: Tick) {
        let Some(endpoint) = board.fleet.load().endpoints.find(&release.endpoint) else {
            return;
        };
        let Some(key) = self.grants.find(release.attempt, endpoint) else {
            return;
        };
        match release.end {
            GrantEnd::Finished { took, tokens } => {
                self.record_success(board, endpoint, now);
                self.add_sample(key, took, tokens, now);
                self.free(key, now);
            }
            GrantEnd::Computed { took, tokens } => {
                self.record_success(board, endpoint, now);
                self.add_sample(key, took, tokens, now);
                self.mark_computed(key, now);
            }
            GrantEnd::Unused | GrantEnd::Cancelled => self.free(key, now),
            GrantEnd::Broken => {
                self.record_failure(board, endpoint, now);
                self.mark_orphan(key, now);
            }
        }
    }

    /// Releases the memory of an orphan whose cancellation the endpoint has confirmed.
    pub(super) fn free_cancelled(&mut self, key: GrantKey, now: Tick) {
        self.free(key, now);
    }

    /// Removes and returns the orphans for which no cancel task has been started.
    pub(super) fn take_orphans(&mut self) -> Vec<GrantKey> {
        std::mem::take(&mut self.orphans)
    }

    /// Returns a grant for editing, or `None` if it has ended.
    pub(super) fn grant_mut(&mut self, key: GrantKey) -> Option<&mut GrantEntry> {
        self.grants.get_mut(key)
    }

    /// Ends a grant and releases its memory.
    pub(super) fn free(&mut self, key: GrantKey, now: Tick) {
        let Some(entry) = self.grants.remove(key) else {
            return;
        };
        if let Some(view) = self.views.get_mut(entry.endpoint) {
            if entry.prefill_time > Duration::ZERO {
                view.prefill_ended = now;
            }
            view.ended_attempts.insert(entry.attempt, now);
        }
    }

    /// Records that the prompt of a prefill has been computed and its prefixes are cached.
    fn mark_computed(&mut self, key: GrantKey, now: Tick) {
        let Some(entry) = self.grants.get_mut(key) else {
            return;
        };
        entry.prefill_time = Duration::ZERO;
        let prefixes = std::mem::take(&mut entry.prefixes);
        if let Some(view) = self.views.get_mut(entry.endpoint) {
            view.prefill_ended = now;
            view.assume_cached(&prefixes);
        }
    }

    /// Marks a grant for cancellation at its endpoint; at a service, which has nothing to cancel,
    /// the grant ends at once.
    pub(super) fn mark_orphan(&mut self, key: GrantKey, now: Tick) {
        let role = self.grants.get(key).map(|entry| entry.role);
        match role {
            Some(Role::Service) => self.free(key, now),
            Some(_) => self.orphans.push(key),
            None => {}
        }
    }

    /// Adds the service time of a finished grant to the endpoint's estimate.
    ///
    /// A prefill counts from the end of the one before it; a decode counts its time per token in
    /// the batch that runs now. Grants without tokens are left out, except at a service.
    fn add_sample(&mut self, key: GrantKey, took: Duration, tokens: u32, now: Tick) {
        let Some(entry) = self.grants.get(key) else {
            return;
        };
        let Some(view) = self.views.get_mut(entry.endpoint) else {
            return;
        };
        if tokens == 0 && entry.role != Role::Service {
            return;
        }
        match entry.role {
            Role::Prefill => {
                let since_previous = now.since(entry.granted_at.max(view.prefill_ended));
                view.fit
                    .add_sample(f64::from(tokens), took.min(since_previous));
            }
            Role::Decode => {
                let batch = entry.counters.running();
                view.fit.add_sample(f64::from(batch), took / tokens);
            }
            Role::Service => view.fit.add_sample(1.0, took),
        }
    }

    /// Keeps a view of each owned endpoint and ends the grants of endpoints removed from the fleet.
    pub(super) fn follow_endpoints(&mut self, snapshot: &QueueSnapshot, now: Tick) {
        for (key, endpoint) in snapshot.fleet.endpoints.iter() {
            if !snapshot.owns(key) {
                self.views.remove(key);
            } else if !self.views.contains_key(key) {
                self.views
                    .insert(key, EndpointView::new(endpoint.role, now));
            }
        }
        let is_removed =
            |entry: &GrantEntry| snapshot.fleet.endpoints.get(entry.endpoint).is_none();
        for key in self.grants.select(is_removed) {
            self.free(key, now);
        }
    }

    /// Marks as orphans the grants whose entry host has died or restarted.
    pub(super) fn follow_members(&mut self, members: &Members, now: Tick) {
        let hosts: HashMap<u64, (u64, HostState)> = members
            .hosts
            .iter()
            .map(|(_, host)| (name_hash(&host.name), (host.incarnation, host.state)))
            .collect();
        let is_orphaned = |entry: &GrantEntry| {
            let request = entry.attempt.request;
            let host = hosts.get(&request.host);
            let host_died = host.is_some_and(|(incarnation, state)| {
                *state == HostState::Dead || *incarnation > request.incarnation
            });
            host_died && entry.cancel.is_none()
        };
        for key in self.grants.select(is_orphaned) {
            self.mark_orphan(key, now);
        }
    }
}
