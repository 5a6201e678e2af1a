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

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Samples the daemons of a run with faults.
#[derive(Debug)]
pub(super) struct FaultWatch {
    pub(super) sheet: Histogram<u64>,
    pub(super) removal: Histogram<u64>,
    pub(super) arrival: Histogram<u64>,
    pub(super) gaps: Histogram<u64>,
    pub(super) doubles: Histogram<u64>,
    pub(super) reverts: usize,
    accepted: Vec<(u64, Instant)>,
    seats: Vec<Seat>,
    owned: SecondaryMap<EndpointKey, Owned>,
    waits: Vec<Wait>,
}

/// What is known of one daemon.
#[derive(Debug)]
struct Seat {
    well: Option<Instant>,
    incarnation: u64,
    revision: u64,
    next: usize,
    owners: Option<(Arc<Owners>, Vec<EndpointKey>)>,
}

/// Since when an endpoint has had no owner, or two.
#[derive(Clone, Copy, Debug, Default)]
struct Owned {
    well: u16,
    running: u16,
    none: Option<Instant>,
    two: Option<Instant>,
}

/// A change of membership that not all daemons have seen.
#[derive(Clone, Debug)]
struct Wait {
    host: usize,
    name: String,
    incarnation: u64,
    gone: bool,
    since: Instant,
}

/// A daemon at the time of a sample.
#[derive(Debug)]
pub(super) struct Sample<'a> {
    /// The daemon; `None` while it is down.
    pub(super) host: Option<&'a CapacityHost>,
    /// Whether it is paused.
    pub(super) paused: bool,
    /// Whether it is cut off.
    pub(super) cut: bool,
}

impl Sample<'_> {
    fn is_well(&self) -> bool {
        self.host.is_some() && !self.paused && !self.cut
    }
}

impl FaultWatch {
    pub(super) fn new(daemons: usize, now: Instant) -> Self {
        let seat = || Seat {
            well: Some(now),
            incarnation: 1,
            revision: 0,
            next: 0,
            owners: None,
        };
        Self {
            sheet: histogram(),
            removal: histogram(),
            arrival: histogram(),
            gaps: histogram(),
            doubles: histogram(),
            reverts: 0,
            accepted: Vec::new(),
            seats: std::iter::repeat_with(seat).take(daemons).collect(),
            owned: SecondaryMap::new(),
            waits: Vec::new(),
        }
    }

    /// Records that a revision was accepted.
    pub(super) fn accept(&mut self, revision: u64, now: Instant) {
        self.accepted.push((revision, now));
    }

    /// Starts to wait until all daemons have seen that `host` has gone, or has come.
    pub(super) fn expect(&mut self, host: usize, name: &str, incarnation: u64, gone: bool) {
        self.waits.retain(|wait| wait.host != host);
        self.waits.push(Wait {
            host,
            name: String::from(name),
            incarnation,
            gone,
            since: Instant::now(),
        });
    }

    /// Takes a sample of all daemons.
    pub(super) fn sample(&mut self, samples: &[Sample<'_>], now: Instant) {
        for (i, sample) in samples.iter().enumerate() {
            self.sample_sheet(i, sample, now);
        }
        self.sample_owners(samples, now);
        self.sample_waits(samples, now);
    }

    /// Whether the last revision is in force on all daemons.
    pub(super) fn is_settled(&self, revision: u64) -> bool {
        let held = self.seats.iter().all(|seat| seat.revision >= revision);
        held && self.waits.is_empty()
    }

    fn sample_sheet(&mut self, number: usize, sample: &Sample<'_>, now: Instant) {
        let seat = &mut self.seats[number];
        let Some(host) = sample.host.filter(|_| sample.is_well()) else {
            seat.well = None;
            return;
        };
        let well = *seat.well.get_or_insert(now);
        let revision = host.plane.board.sheet.load().revision;
        if host.incarnation == seat.incarnation && revision < seat.revision {
            self.reverts += 1;
        }
        seat.incarnation = host.incarnation;
        seat.revision = revision;
        while let Some((_, since)) = self.accepted.get(seat.next).filter(|a| a.0 <= revision) {
            record(&mut self.sheet, now, (*since).max(well));
            seat.next += 1;
        }
    }

    fn sample_owners(&mut self, samples: &[Sample<'_>], now: Instant) {
        for (_, owned) in &mut self.owned {
            (owned.well, owned.running) = (0, 0);
        }
        for (seat, sample) in self.seats.iter_mut().zip(samples) {
            let Some(host) = sample.host.filter(|_| !sample.paused) else {
                seat.owners = None;
                continue;
            };
            let owners = host.plane.board.owners.snapshot();
            let fresh = |held: &(Arc<Owners>, _)| Arc::ptr_eq(&held.0, &owners);
            if !seat.owners.as_ref().is_some_and(fresh) {
                seat.owners = Some((owners, host.owned()));
            }
            for key in seat.owners.iter().flat_map(|held| &held.1) {
                if !self.owned.contains_key(*key) {
                    self.owned.insert(*key, Owned::default());
                }
                if let Some(owned) = self.owned.get_mut(*key) {
                    owned.running += 1;
                    owned.well += u16::from(!sample.cut);
                }
            }
        }
        for (_, owned) in &mut self.owned {
            follow(&mut owned.none, owned.well == 0, now, &mut self.gaps);
            follow(&mut owned.two, owned.running > 1, now, &mut self.doubles);
        }
    }

    fn sample_waits(&mut self, samples: &[Sample<'_>], now: Instant) {
        let (removal, arrival) = (&mut self.removal, &mut self.arrival);
        self.waits.retain(|wait| {
            let well = samples.iter().filter(|sample| sample.is_well());
            let seen = well
                .filter_map(|sample| sample.host)
                .all(|host| wait.seen(host));
            if seen {
                let times = if wait.gone {
                    &mut *removal
                } else {
                    &mut *arrival
                };
                record(times, now, wait.since);
            }
            !seen
        });
    }
}

impl Wait {
    fn seen(&self, by: &CapacityHost) -> bool {
        let members = by.plane.board.members.load();
        let key = members.hosts.find(&self.name);
        let Some(host) = key.and_then(|key| members.hosts.get(key)) else {
            return self.gone;
        };
        if self.gone {
            !host.state.may_own()
        } else {
            host.state == HostState::Alive && host.incarnation >= self.incarnation
        }
    }
}

/// Keeps the start of a condition and records its length when it ends.
fn follow(since: &mut Option<Instant>, holds: bool, now: Instant, times: &mut Histogram<u64>) {
    match *since {
        None if holds => *since = Some(now),
        Some(start) if !holds => {
            record(times, now, start);
            *since = None;
        }
        _ => {}
    }
}

fn record(times: &mut Histogram<u64>, now: Instant, since: Instant) {
    let elapsed = now.saturating_duration_since(since);
    // The histogram grows as needed, so that no value is refused.
    let _ = times.record(elapsed.as_millis() as u64);
}

fn histogram() -> Histogram<u64> {
    // The digits are within the library's range, so that the default is never taken.
    Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("the digits are valid"))
}
