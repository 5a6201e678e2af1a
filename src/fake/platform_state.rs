use {
    super::{Outage, PlatformControl, PlatformFaults, PlatformObserved, PlatformSettings},
    crate::port::{HostEntry, Object, ObjectName},
    bytes::Bytes,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, mem::take, time::Duration},
    tokio::time::Instant,
};

/// State of a fake platform: objects, hosts, faults and counters.
#[derive(Debug)]
pub(super) struct PlatformState {
    pub(super) faults: PlatformFaults,
    pub(super) observed: PlatformObserved,
    objects: BTreeMap<String, StoredObject>,
    hosts: BTreeMap<String, HostEntry>,
    /// All host lists so far, each with the time of its change.
    list_history: Vec<(Instant, Vec<HostEntry>)>,
    rng: SmallRng,
}

/// Object with its previous version, which stale reads return.
#[derive(Debug)]
struct StoredObject {
    current: Object,
    previous: Option<Object>,
}

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug)]
pub(super) enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug)]
pub(super) enum WriteOutcome {
    /// It took effect and made this version.
    Done(u64),
    /// It took effect, but its response is lost.
    Lost,
    /// The condition did not hold; the current version is this, or 0 without an object.
    Conflict(u64),
}

impl PlatformState {
    pub(super) fn new(settings: &PlatformSettings) -> Self {
        let hosts = settings.hosts.iter().cloned();
        let hosts: BTreeMap<_, _> = hosts.map(|host| (host.name.clone(), host)).collect();
        let list = hosts.values().cloned().collect();
        Self {
            faults: settings.faults.clone(),
            observed: PlatformObserved::default(),
            objects: BTreeMap::new(),
            hosts,
            list_history: vec![(Instant::now(), list)],
            rng: SmallRng::seed_from_u64(settings.seed),
        }
    }

    /// Returns an object, or its previous version if the fault is drawn.
    pub(super) fn read(&mut self, name: &str) -> Option<Object> {
        let stale = self.draw_stale();
        let stored = self.objects.get(name)?;
        if let Some(previous) = stored.previous.as_ref().filter(|_| stale) {
            self.observed.stale += 1;
            return Some(previous.clone());
        }
        Some(stored.current.clone())
    }

    /// Returns the object if its version is greater than `after`.
    pub(super) fn newer(&self, name: &str, after: u64) -> Option<Object> {
        let stored = self.objects.get(name)?;
        (stored.current.version > after).then(|| stored.current.clone())
    }

    /// Writes an object if `condition` holds.
    pub(super) fn write(&mut self, name: &str, condition: Condition, body: Bytes) -> WriteOutcome {
        let current = self.objects.get(name).map_or(0, |s| s.current.version);
        let holds = match condition {
            Condition::Absent => current == 0,
            Condition::Version(version) => current != 0 && current == version,
        };
        if !holds {
            self.observed.conflicts += 1;
            return WriteOutcome::Conflict(current);
        }
        let version = current + 1;
        self.observed.written += body.len() as u64;
        let previous = self.objects.remove(name).map(|stored| stored.current);
        let current = Object { version, body };
        self.objects
            .insert(name.into(), StoredObject { current, previous });
        if self.draw_lost() {
            self.observed.lost += 1;
            if self.faults.lose_outage != Outage::None {
                self.faults.outage = take(&mut self.faults.lose_outage);
            }
            return WriteOutcome::Lost;
        }
        WriteOutcome::Done(version)
    }

    /// Returns the names and versions of the objects that start with `prefix`, sorted by name.
    pub(super) fn list(&self, prefix: &str) -> Vec<ObjectName> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(|(name, _)| name.starts_with(prefix))
            .map(|(name, stored)| ObjectName {
                name: name.clone(),
                version: stored.current.version,
            })
            .collect()
    }

    /// Returns the host list as it was `list_lag_ms` ago, or the first one.
    pub(super) fn hosts(&mut self) -> Vec<HostEntry> {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let is_visible = |(since, _): &(Instant, Vec<HostEntry>)| since.elapsed() >= lag;
        let newest = self.list_history.iter().rposition(is_visible).unwrap_or(0);
        self.list_history[newest].1.clone()
    }

    /// Changes the faults and hosts and records the new host list.
    pub(super) fn control(&mut self, control: PlatformControl) {
        self.faults.apply(&control);
        for host in control.add_hosts {
            self.hosts.insert(host.name.clone(), host);
        }
        for name in &control.leaving_hosts {
            if let Some(host) = self.hosts.get_mut(name) {
                host.leaving = true;
            }
        }
        for name in &control.remove_hosts {
            self.hosts.remove(name);
        }
        let list = self.hosts.values().cloned().collect();
        self.list_history.push((Instant::now(), list));
    }

    fn draw_lost(&mut self) -> bool {
        let share = self.faults.lose_share;
        draw(&mut self.rng, &mut self.faults.lose_next, share)
    }

    fn draw_stale(&mut self) -> bool {
        let share = self.faults.stale_share;
        draw(&mut self.rng, &mut self.faults.stale_next, share)
    }
}

/// Draws a fault: certain while `next` is above 0, then with the probability `share`.
fn draw(rng: &mut SmallRng, next: &mut u32, share: f64) -> bool {
    if *next > 0 {
        *next -= 1;
        return true;
    }
    share > 0.0 && rng.random_bool(share.min(1.0))
}
