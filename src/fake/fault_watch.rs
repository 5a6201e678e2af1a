use {
    super::capacity_host::CapacityHost,
    crate::{
        board::{HostState, Owners},
        key::EndpointKey,
    },
    hdrhistogram::Histogram,
    slotmap::SecondaryMap,
    std::sync::Arc,
    tokio::time::Instant,
};

/// Significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Measures, from samples of the daemons, how long changes take and invariants do not hold.
#[derive(Debug)]
pub(super) struct FaultWatch {
    /// See `CapacityFaultReport` for this field and the five that follow.
    pub(super) sheet: Histogram<u64>,
    pub(super) removal: Histogram<u64>,
    pub(super) arrival: Histogram<u64>,
    pub(super) ownerless: Histogram<u64>,
    pub(super) double_owners: Histogram<u64>,
    pub(super) reverts: usize,
    /// Accepted revisions of the sheet, each with the time of its acceptance.
    accepted: Vec<(u64, Instant)>,
    daemons: Vec<DaemonState>,
    owned: SecondaryMap<EndpointKey, OwnerCounts>,
    pending: Vec<PendingChange>,
}

/// State of one daemon at its last sample.
#[derive(Debug)]
struct DaemonState {
    /// Time since which it has had no fault; `None` while it has one.
    healthy_since: Option<Instant>,
    incarnation: u64,
    revision: u64,
    /// Index in `FaultWatch::accepted` of the first revision that it has not had in force yet.
    next_accepted: usize,
    /// Owners in its view, and the endpoints that it owns by them; `None` while it is down or
    /// paused.
    owners: Option<(Arc<Owners>, Vec<EndpointKey>)>,
}

/// Number of daemons that own an endpoint, and since when it has had none or more than one.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerCounts {
    /// Owners that are neither paused, isolated nor leaving.
    healthy: u16,
    /// Owners that are not paused.
    running: u16,
    ownerless_since: Option<Instant>,
    double_since: Option<Instant>,
}

/// Membership change that not all daemons have applied yet.
#[derive(Clone, Debug)]
struct PendingChange {
    host: usize,
    name: String,
    incarnation: u64,
    removed: bool,
    since: Instant,
}

/// One daemon and its faults at the time of a sample.
#[derive(Debug)]
pub(super) struct Sample<'a> {
    /// The daemon; `None` while it is down.
    pub(super) host: Option<&'a CapacityHost>,
    /// Whether it is paused.
    pub(super) paused: bool,
    /// Whether it is isolated from the others or has announced its end.
    pub(super) isolated: bool,
}

impl Sample<'_> {
    fn is_healthy(&self) -> bool {
        self.host.is_some() && !self.paused && !self.isolated
    }
}

impl FaultWatch {
    pub(super) fn new(count: usize, now: Instant) -> Self {
        let daemon = || DaemonState {
            healthy_since: Some(now),
            incarnation: 1,
            revision: 0,
            next_accepted: 0,
            owners: None,
        };
        Self {
            sheet: histogram(),
            removal: histogram(),
            arrival: histogram(),
            ownerless: histogram(),
            double_owners: histogram(),
            reverts: 0,
            accepted: Vec::new(),
            daemons: std::iter::repeat_with(daemon).take(count).collect(),
            owned: SecondaryMap::new(),
            pending: Vec::new(),
        }
    }

    /// Records that `revision` of the sheet was accepted at `now`.
    pub(super) fn accept(&mut self, revision: u64, now: Instant) {
        self.accepted.push((revision, now));
    }

    /// Starts to measure how long all daemons take to notice that `host` was removed, or has come
    /// up as `incarnation`.
    pub(super) fn expect(&mut self, host: usize, name: &str, incarnation: u64, removed: bool) {
        self.pending.retain(|change| change.host != host);
        self.pending.push(PendingChange {
            host,
            name: String::from(name),
            incarnation,
            removed,
            since: Instant::now(),
        });
    }

    /// Evaluates a sample of all daemons, one entry for each in order.
    pub(super) fn sample(&mut self, samples: &[Sample<'_>], now: Instant) {
        for (i, sample) in samples.iter().enumerate() {
            self.sample_sheet(i, sample, now);
        }
        self.sample_owners(samples, now);
        self.sample_pending(samples, now);
    }

    /// Whether `revision` is in force on all daemons and no membership change is pending.
    pub(super) fn is_settled(&self, revision: u64) -> bool {
        let in_force = self
            .daemons
            .iter()
            .all(|daemon| daemon.revision >= revision);
        in_force && self.pending.is_empty()
    }

    fn sample_sheet(&mut self, number: usize, sample: &Sample<'_>, now: Instant) {
        let daemon = &mut self.daemons[number];
        let Some(host) = sample.host.filter(|_| sample.is_healthy()) else {
            daemon.healthy_since = None;
            return;
        };
        let healthy_since = *daemon.healthy_since.get_or_insert(now);
        let revision = host.plane.board.sheet.load().revision;
        if host.incarnation == daemon.incarnation && revision < daemon.revision {
            self.reverts += 1;
        }
        daemon.incarnation = host.incarnation;
        daemon.revision = revision;
        while let Some((_, since)) = self
            .accepted
            .get(daemon.next_accepted)
            .filter(|a| a.0 <= revision)
        {
            record(&mut self.sheet, now, (*since).max(healthy_since));
            daemon.next_accepted += 1;
        }
    }

    fn sample_owners(&mut self, samples: &[Sample<'_>], now: Instant) {
        for (_, owned) in &mut self.owned {
            (owned.healthy, owned.running) = (0, 0);
        }
        for (daemon, sample) in self.daemons.iter_mut().zip(samples) {
            let Some(host) = sample.host.filter(|_| !sample.paused) else {
                daemon.owners = None;
                continue;
            };
            let owners = host.plane.board.owners.snapshot();
            let is_current = |cached: &(Arc<Owners>, _)| Arc::ptr_eq(&cached.0, &owners);
            if !daemon.owners.as_ref().is_some_and(is_current) {
                daemon.owners = Some((owners, host.owned()));
            }
            for key in daemon.owners.iter().flat_map(|cached| &cached.1) {
                if !self.owned.contains_key(*key) {
                    self.owned.insert(*key, OwnerCounts::default());
                }
                if let Some(owned) = self.owned.get_mut(*key) {
                    owned.running += 1;
                    owned.healthy += u16::from(!sample.isolated);
                }
            }
        }
        for (_, owned) in &mut self.owned {
            track(
                &mut owned.ownerless_since,
                owned.healthy == 0,
                now,
                &mut self.ownerless,
            );
            track(
                &mut owned.double_since,
                owned.running > 1,
                now,
                &mut self.double_owners,
            );
        }
    }

    fn sample_pending(&mut self, samples: &[Sample<'_>], now: Instant) {
        let (removal, arrival) = (&mut self.removal, &mut self.arrival);
        self.pending.retain(|change| {
            let healthy = samples.iter().filter(|sample| sample.is_healthy());
            let applied = healthy
                .filter_map(|sample| sample.host)
                .all(|host| change.applied(host));
            if applied {
                let times = if change.removed {
                    &mut *removal
                } else {
                    &mut *arrival
                };
                record(times, now, change.since);
            }
            !applied
        });
    }
}

impl PendingChange {
    fn applied(&self, by: &CapacityHost) -> bool {
        let members = by.plane.board.members.load();
        let key = members.hosts.find(&self.name);
        let Some(host) = key.and_then(|key| members.hosts.get(key)) else {
            return self.removed;
        };
        if self.removed {
            !host.state.may_own()
        } else {
            host.state == HostState::Alive && host.incarnation >= self.incarnation
        }
    }
}

/// Records in `times` how long a condition held, once it no longer holds.
fn track(since: &mut Option<Instant>, holds: bool, now: Instant, times: &mut Histogram<u64>) {
    match *since {
        None if holds => *since = Some(now),
        Some(start) if !holds => {
            record(times, now, start);
            *since = None;
        }
        _ => {}
    }
}

/// Records the milliseconds from `since` to `now`.
fn record(times: &mut Histogram<u64>, now: Instant, since: Instant) {
    let elapsed = now.saturating_duration_since(since);
    // Cannot fail: the histogram grows as needed.
    let _ = times.record(elapsed.as_millis() as u64);
}

fn histogram() -> Histogram<u64> {
    // Cannot fail: the library takes 0 to 5 digits.
    Histogram::new(SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("3 significant digits are valid"))
}
