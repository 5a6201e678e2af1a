//! Reconciles the grants of an owner with what its endpoints report.

use {
    super::{grant_table::GrantEntry, line_places::LinePlaces, line_state::LineState},
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

/// Time after a change of ownership in which attempts without a grant count as the last owner's.
const TAKEOVER: Duration = Duration::from_secs(15);

/// Time after which an attempt that the endpoint holds without a grant is cancelled.
const ORPHAN_GRACE: Duration = Duration::from_secs(30);

/// Time after which a grant that the endpoint does not list is freed.
const UNHELD_GRACE: Duration = Duration::from_secs(30);

/// Time for which ended grants are remembered, longer than any report lags.
const PAST_KEPT: Duration = Duration::from_secs(15);

/// Time around the death of a host in which its attempts may still have started.
const DEATH_MARGIN: Duration = Duration::from_secs(5);

/// What to do with an attempt that an endpoint holds without a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stranger {
    /// Wait and see.
    Watch,
    /// The last owner granted it.
    Adopt,
    /// Nobody will ever free it.
    Cancel,
}

impl LineState {
    /// Takes in the load report of an owned endpoint.
    pub(super) fn reported(
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
        endpoint.slot.report(report.used, now.0);
        endpoint.slot.set_incarnation(report.incarnation);
        endpoint.slot.set_leaving(report.leaving);
        let taken = Tick(now.0.saturating_sub(report.age_ms.saturating_mul(1000)));
        let held: HashSet<AttemptId> = report
            .held
            .iter()
            .filter_map(|attempt| attempt.parse().ok())
            .collect();
        self.free_unheld(key, &held, taken, now);
        self.meet_strangers(&board.members.load(), key, endpoint, report, &held, now);
        let Some(view) = self.views.get_mut(key) else {
            return;
        };
        view.leaving = report.leaving;
        view.reported = true;
        view.strangers.retain(|attempt, _| held.contains(attempt));
        view.past.retain(|_, ended| *ended + PAST_KEPT > now);
    }

    /// Notes that an owned endpoint could not be asked for its load.
    pub(super) fn silent(&mut self, board: &Blackboard, key: EndpointKey, now: Tick) {
        self.fail(board, key, now);
    }

    /// Takes in cache events of an owned endpoint.
    pub(super) fn cached(&mut self, key: EndpointKey, events: &CacheEvents) {
        if let Some(view) = self.views.get_mut(key) {
            view.take_events(events);
        }
    }

    /// Frees everything that a restart of the endpoint has made void.
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

    /// Frees the grants that the endpoint has not listed for long.
    fn free_unheld(&mut self, key: EndpointKey, held: &HashSet<AttemptId>, taken: Tick, now: Tick) {
        for grant in self.grants.select(|entry| entry.endpoint == key) {
            let Some(entry) = self.grants.get_mut(grant) else {
                continue;
            };
            if held.contains(&entry.attempt) {
                entry.seen = Some(taken);
            }
            let last = entry.seen.unwrap_or(entry.since);
            if entry.cancel.is_none() && last + UNHELD_GRACE < taken {
                self.free(grant, now);
            }
        }
    }

    /// Decides on every attempt that the endpoint holds without a grant.
    fn meet_strangers(
        &mut self,
        members: &Members,
        key: EndpointKey,
        endpoint: &Endpoint,
        report: &LoadReport,
        held: &HashSet<AttemptId>,
        now: Tick,
    ) {
        let hosts = hosts_by_hash(members);
        let share = report.used.div_ceil(report.held.len().max(1) as u32).max(1);
        for attempt in held {
            if self.grants.find(*attempt, key).is_some() {
                continue;
            }
            let host = hosts.get(&attempt.request.host).copied();
            let stranger = self.judge(key, *attempt, host, now);
            if stranger == Stranger::Watch {
                continue;
            }
            // The endpoint holds the memory whatever the limit says.
            endpoint.slot.try_take(share, u32::MAX);
            let grant = self
                .grants
                .insert(adopted(*attempt, key, endpoint, share, now));
            if stranger == Stranger::Cancel {
                self.orphan(grant, now);
            }
        }
    }

    /// Judges an attempt that the endpoint holds without a grant.
    fn judge(
        &mut self,
        key: EndpointKey,
        attempt: AttemptId,
        host: Option<(u64, HostState, Tick)>,
        now: Tick,
    ) -> Stranger {
        let Some(view) = self.views.get_mut(key) else {
            return Stranger::Watch;
        };
        if view.past.contains_key(&attempt) {
            return Stranger::Watch;
        }
        let first = *view.strangers.entry(attempt).or_insert(now);
        let inherited = first < view.since + TAKEOVER;
        match host {
            Some((incarnation, _, _)) if incarnation > attempt.request.incarnation => {
                Stranger::Cancel
            }
            // An attempt that starts after the death of its host shows a host that is cut off.
            Some((_, HostState::Dead, since)) if first < since + DEATH_MARGIN => Stranger::Cancel,
            Some((_, HostState::Dead, _)) | None if !inherited => Stranger::Watch,
            _ if inherited => Stranger::Adopt,
            _ if first + ORPHAN_GRACE < now => Stranger::Cancel,
            _ => Stranger::Watch,
        }
    }

    /// Records a failure of an endpoint.
    pub(super) fn fail(&mut self, board: &Blackboard, key: EndpointKey, now: Tick) {
        if let Some(view) = self.views.get_mut(key) {
            view.outlier.fail(now);
            show_standing(board, key, &view.outlier);
            self.send_away(&LinePlaces::new(board), now);
        }
    }

    /// Records a request that ran to its end.
    pub(super) fn succeed(&mut self, board: &Blackboard, key: EndpointKey, now: Tick) {
        if let Some(view) = self.views.get_mut(key) {
            view.outlier.succeed(now);
            show_standing(board, key, &view.outlier);
        }
    }
}

/// Shows on the endpoint's counters whether it is ejected.
fn show_standing(board: &Blackboard, key: EndpointKey, outlier: &Outlier) {
    if let Some(endpoint) = board.fleet.load().endpoints.get(key) {
        endpoint.slot.set_ejected(outlier.probe_due().is_some());
    }
}

/// Incarnation, state and time of its last change of each host, by the hash of its name.
fn hosts_by_hash(members: &Members) -> HashMap<u64, (u64, HostState, Tick)> {
    let hosts = members.hosts.iter();
    hosts
        .map(|(_, host)| {
            let known = (host.incarnation, host.state, host.since);
            (name_hash(&host.name), known)
        })
        .collect()
}

/// Grant of an attempt that another owner has granted.
fn adopted(
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
        slot: Arc::clone(&endpoint.slot),
        role: endpoint.role,
        pieces,
        ticket: None,
        since: now,
        work: Duration::ZERO,
        prefixes: Vec::new(),
        suspect: false,
        seen: Some(now),
        cancel: None,
    }
}
