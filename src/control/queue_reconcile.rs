//! Reconciles the grants of an owner with the attempts that its endpoints report.

use {
    super::{grant_table::GrantEntry, queue_snapshot::QueueSnapshot, queue_state::QueueState},
    crate::{
        board::{Blackboard, Endpoint, HostState, Members, Tick},
        decide::Outlier,
        key::{AttemptId, EndpointKey, name_hash},
        port::{CacheEvents, LoadReport},
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// Time after a change of ownership in which attempts without a grant are taken to be granted by
/// the previous owner.
const TAKEOVER_TIME: Duration = Duration::from_secs(15);

/// Time after which an attempt that the endpoint holds without a grant is cancelled.
const ORPHAN_GRACE: Duration = Duration::from_secs(30);

/// Time without a listing by the endpoint after which a grant is freed.
const UNLISTED_GRACE: Duration = Duration::from_secs(30);

/// Time for which ended grants are remembered; longer than a load report can lag behind.
const ENDED_RETENTION: Duration = Duration::from_secs(15);

/// Time after the detected death of a host within which an attempt that is first reported counts as
/// started before the death.
const DEATH_MARGIN: Duration = Duration::from_secs(5);

/// What to do with an attempt that an endpoint holds without a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UngrantedAction {
    /// Leave it for now; a later report decides.
    Observe,
    /// Add a grant for it: the previous owner granted it.
    Adopt,
    /// Cancel it at the endpoint: no daemon is going to release it.
    Cancel,
}

impl QueueState {
    /// Applies the load report of an endpoint; a report of one not owned here is ignored.
    pub(super) fn apply_report(
        &mut self,
        board: &Blackboard,
        key: EndpointKey,
        report: &LoadReport,
        now: Tick,
    ) {
        let fleet = board.fleet.snapshot();
        let Some(endpoint) = fleet.endpoints.get(key) else {
            return;
        };
        if !self.views.contains_key(key) {
            return;
        }
        self.follow_incarnation(key, report.incarnation, now);
        endpoint.counters.record_load(report.used, now.0);
        endpoint.counters.set_incarnation(report.incarnation);
        endpoint.counters.set_draining(report.leaving);
        let reported_at = Tick(now.0.saturating_sub(report.age_ms.saturating_mul(1000)));
        let held: HashSet<AttemptId> = report
            .held
            .iter()
            .filter_map(|attempt| attempt.parse().ok())
            .collect();
        self.free_unlisted(key, &held, reported_at, now);
        self.handle_ungranted(&board.members.load(), key, endpoint, report, &held, now);
        let Some(view) = self.views.get_mut(key) else {
            return;
        };
        view.draining = report.leaving;
        view.reported = true;
        view.ungranted.retain(|attempt, _| held.contains(attempt));
        view.ended_attempts
            .retain(|_, ended| *ended + ENDED_RETENTION > now);
    }

    /// Counts a failed load request as a failure of the endpoint.
    pub(super) fn load_failed(&mut self, board: &Blackboard, key: EndpointKey, now: Tick) {
        self.record_failure(board, key, now);
    }

    /// Applies cache events of an owned endpoint.
    pub(super) fn apply_events(&mut self, key: EndpointKey, events: &CacheEvents) {
        if let Some(view) = self.views.get_mut(key) {
            view.apply_events(events);
        }
    }

    /// Frees the grants of an endpoint whose incarnation shows that it has restarted.
    fn follow_incarnation(&mut self, key: EndpointKey, incarnation: u64, now: Tick) {
        let Some(view) = self.views.get_mut(key) else {
            return;
        };
        if view.incarnation == incarnation {
            return;
        }
        let restarted = view.incarnation != 0;
        view.restart(incarnation);
        if restarted {
            for grant in self.grants.select(|entry| entry.endpoint == key) {
                self.free(grant, now);
            }
        }
    }

    /// Frees the grants that the endpoint has not listed for `UNLISTED_GRACE`.
    fn free_unlisted(
        &mut self,
        key: EndpointKey,
        held: &HashSet<AttemptId>,
        reported_at: Tick,
        now: Tick,
    ) {
        for grant in self.grants.select(|entry| entry.endpoint == key) {
            let Some(entry) = self.grants.get_mut(grant) else {
                continue;
            };
            if held.contains(&entry.attempt) {
                entry.last_listed = Some(reported_at);
            }
            let last_listed = entry.last_listed.unwrap_or(entry.granted_at);
            if entry.cancel.is_none() && last_listed + UNLISTED_GRACE < reported_at {
                self.free(grant, now);
            }
        }
    }

    /// Adopts or cancels the attempts that the endpoint holds without a grant.
    ///
    /// A report does not say how much memory each attempt holds, so each counts for an equal share
    /// of the pieces in use.
    fn handle_ungranted(
        &mut self,
        members: &Members,
        key: EndpointKey,
        endpoint: &Endpoint,
        report: &LoadReport,
        held: &HashSet<AttemptId>,
        now: Tick,
    ) {
        let hosts = hosts_by_hash(members);
        let pieces_each = report.used.div_ceil(report.held.len().max(1) as u32).max(1);
        for attempt in held {
            if self.grants.find(*attempt, key).is_some() {
                continue;
            }
            let host = hosts.get(&attempt.request.host).copied();
            let action = self.classify(key, *attempt, host, now);
            if action == UngrantedAction::Observe {
                continue;
            }
            // The endpoint holds the memory already, so no limit applies.
            endpoint.counters.try_acquire(pieces_each, u32::MAX);
            let grant =
                self.grants
                    .insert(adopted_grant(*attempt, key, endpoint, pieces_each, now));
            if action == UngrantedAction::Cancel {
                self.mark_orphan(grant, now);
            }
        }
    }

    /// Decides what to do with an attempt that the endpoint holds without a grant.
    ///
    /// `host` is the incarnation, the state and the last change of state of the entry host.
    fn classify(
        &mut self,
        key: EndpointKey,
        attempt: AttemptId,
        host: Option<(u64, HostState, Tick)>,
        now: Tick,
    ) -> UngrantedAction {
        let Some(view) = self.views.get_mut(key) else {
            return UngrantedAction::Observe;
        };
        if view.ended_attempts.contains_key(&attempt) {
            return UngrantedAction::Observe;
        }
        let first_seen = *view.ungranted.entry(attempt).or_insert(now);
        let is_inherited = first_seen < view.owned_since + TAKEOVER_TIME;
        match host {
            Some((incarnation, _, _)) if incarnation > attempt.request.incarnation => {
                UngrantedAction::Cancel
            }
            // An attempt that is first reported later started after the supposed death: its host
            // still runs and is only unreachable from here.
            Some((_, HostState::Dead, since)) if first_seen < since + DEATH_MARGIN => {
                UngrantedAction::Cancel
            }
            Some((_, HostState::Dead, _)) | None if !is_inherited => UngrantedAction::Observe,
            _ if is_inherited => UngrantedAction::Adopt,
            _ if first_seen + ORPHAN_GRACE < now => UngrantedAction::Cancel,
            _ => UngrantedAction::Observe,
        }
    }

    /// Records a failure of an endpoint and denies the waiting requests that no endpoint here may
    /// serve any more.
    pub(super) fn record_failure(&mut self, board: &Blackboard, key: EndpointKey, now: Tick) {
        if let Some(view) = self.views.get_mut(key) {
            view.outlier.fail(now);
            update_ejected(board, key, &view.outlier);
            self.deny_unservable(&QueueSnapshot::new(board), now);
        }
    }

    /// Records a request that an endpoint completed.
    pub(super) fn record_success(&mut self, board: &Blackboard, key: EndpointKey, now: Tick) {
        if let Some(view) = self.views.get_mut(key) {
            view.outlier.succeed(now);
            update_ejected(board, key, &view.outlier);
        }
    }
}

/// Sets the flag in the endpoint's counters that says whether it is ejected.
fn update_ejected(board: &Blackboard, key: EndpointKey, outlier: &Outlier) {
    if let Some(endpoint) = board.fleet.load().endpoints.get(key) {
        endpoint.counters.set_ejected(outlier.probe_due().is_some());
    }
}

/// Maps the hash of each host's name to its incarnation, its state and the time of the last change
/// of state.
fn hosts_by_hash(members: &Members) -> HashMap<u64, (u64, HostState, Tick)> {
    let hosts = members.hosts.iter();
    hosts
        .map(|(_, host)| {
            let state = (host.incarnation, host.state, host.changed_at);
            (name_hash(&host.name), state)
        })
        .collect()
}

/// Creates the grant of an attempt that another owner has granted.
fn adopted_grant(
    attempt: AttemptId,
    key: EndpointKey,
    endpoint: &Endpoint,
    pieces: u32,
    now: Tick,
) -> GrantEntry {
    GrantEntry {
        attempt,
        endpoint: key,
        address: endpoint.address.clone(),
        counters: Arc::clone(&endpoint.counters),
        role: endpoint.role,
        pieces,
        call: None,
        granted_at: now,
        prefill_time: Duration::ZERO,
        prefixes: Vec::new(),
        suspect: false,
        last_listed: Some(now),
        cancel: None,
    }
}
