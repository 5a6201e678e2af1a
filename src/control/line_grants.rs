//! Ends grants, learns from them and finds the orphans among them.

use {
    super::{
        endpoint_view::EndpointView, grant_table::GrantEntry, line_places::LinePlaces,
        line_state::LineState,
    },
    crate::{
        board::{Blackboard, HostState, Members, Role, Tick},
        key::{GrantKey, name_hash},
        port::{GrantEnd, GrantRelease},
    },
    std::{collections::HashMap, time::Duration},
};

impl LineState {
    /// Ends a grant.
    pub(super) fn release(&mut self, board: &Blackboard, release: &GrantRelease, now: Tick) {
        let Some(endpoint) = board.fleet.load().endpoints.find(&release.endpoint) else {
            return;
        };
        let Some(key) = self.grants.find(release.attempt, endpoint) else {
            return;
        };
        match release.end {
            GrantEnd::Finished { took, tokens } => {
                self.succeed(board, endpoint, now);
                self.learn(key, took, tokens, now);
                self.free(key, now);
            }
            GrantEnd::Computed { took, tokens } => {
                self.succeed(board, endpoint, now);
                self.learn(key, took, tokens, now);
                self.computed(key, now);
            }
            GrantEnd::Unused | GrantEnd::Cancelled => self.free(key, now),
            GrantEnd::Broken => {
                self.fail(board, endpoint, now);
                self.orphan(key, now);
            }
        }
    }

    /// Gives back the memory of an orphan whose cancellation the endpoint confirmed.
    pub(super) fn cancelled(&mut self, key: GrantKey, now: Tick) {
        self.free(key, now);
    }

    /// Returns the orphans that no task cancels yet.
    pub(super) fn take_orphans(&mut self) -> Vec<GrantKey> {
        std::mem::take(&mut self.orphans)
    }

    /// Returns a grant for editing.
    pub(super) fn grant_mut(&mut self, key: GrantKey) -> Option<&mut GrantEntry> {
        self.grants.get_mut(key)
    }

    /// Ends a grant and gives its memory back.
    pub(super) fn free(&mut self, key: GrantKey, now: Tick) {
        let Some(entry) = self.grants.remove(key) else {
            return;
        };
        if let Some(view) = self.views.get_mut(entry.endpoint) {
            if entry.work > Duration::ZERO {
                view.ended = now;
            }
            view.past.insert(entry.attempt, now);
        }
    }

    /// Notes that the prompt of a prefill has been computed.
    fn computed(&mut self, key: GrantKey, now: Tick) {
        let Some(entry) = self.grants.get_mut(key) else {
            return;
        };
        entry.work = Duration::ZERO;
        let prefixes = std::mem::take(&mut entry.prefixes);
        if let Some(view) = self.views.get_mut(entry.endpoint) {
            view.ended = now;
            view.expect(&prefixes);
        }
    }

    /// Marks a grant for cancellation at its endpoint; a service has nothing to cancel.
    pub(super) fn orphan(&mut self, key: GrantKey, now: Tick) {
        let role = self.grants.get(key).map(|entry| entry.role);
        match role {
            Some(Role::Service) => self.free(key, now),
            Some(_) => self.orphans.push(key),
            None => {}
        }
    }

    /// Learns the service time of a finished grant.
    fn learn(&mut self, key: GrantKey, took: Duration, tokens: u32, now: Tick) {
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
                let alone = now.since(entry.since.max(view.ended));
                view.fit.learn(f64::from(tokens), took.min(alone));
            }
            Role::Decode => {
                let batch = entry.slot.running();
                view.fit.learn(f64::from(batch), took / tokens);
            }
            Role::Service => view.fit.learn(1.0, took),
        }
    }

    /// Keeps a view of each owned endpoint and drops the grants of endpoints that are gone.
    pub(super) fn follow_endpoints(&mut self, places: &LinePlaces, now: Tick) {
        for (key, endpoint) in places.fleet.endpoints.iter() {
            if !places.owns(key) {
                self.views.remove(key);
            } else if !self.views.contains_key(key) {
                self.views
                    .insert(key, EndpointView::new(endpoint.role, now));
            }
        }
        let gone = |entry: &GrantEntry| places.fleet.endpoints.get(entry.endpoint).is_none();
        for key in self.grants.select(gone) {
            self.free(key, now);
        }
    }

    /// Cancels the grants whose entry host has died or restarted.
    pub(super) fn follow_members(&mut self, members: &Members, now: Tick) {
        let hosts: HashMap<u64, (u64, HostState)> = members
            .hosts
            .iter()
            .map(|(_, host)| (name_hash(&host.name), (host.incarnation, host.state)))
            .collect();
        let lost = |entry: &GrantEntry| {
            let request = entry.attempt.request;
            let host = hosts.get(&request.host);
            let gone = host.is_some_and(|(incarnation, state)| {
                *state == HostState::Dead || *incarnation > request.incarnation
            });
            gone && entry.cancel.is_none()
        };
        for key in self.grants.select(lost) {
            self.orphan(key, now);
        }
    }
}
