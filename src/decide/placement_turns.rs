use {
    super::{Ledger, WaitBudget, excess_use::excess_use},
    crate::{board::Tick, key::name_hash, port::PlacementRequest},
    std::{
        cmp::Ordering,
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        time::Duration,
    },
};

/// Share of the contested placements that is divided among all requests whatever their priority. No group
/// may be served less than a quarter as often as all; the rest is a margin for estimated demand.
const RESERVED_RATIO: f64 = 0.33;

/// Greatest credit, so that a group whose requests fit nowhere does not get many placements in a row later.
const MAX_CREDIT: f64 = 2.0;

/// Time for which the credit of a group without waiting requests is kept.
const CREDIT_TIME: Duration = Duration::from_mins(1);

/// A request that waits for a placement.
pub trait WaitingPlacement {
    /// Returns the request.
    fn request(&self) -> &PlacementRequest;

    /// Returns when its caller sent it.
    fn arrived(&self) -> Tick;
}

/// Order in which the waiting requests of each pool are placed, and what groups of requests are owed.
///
/// A group is all requests of a pool with the same priority and organisation. While several of them wait, each
/// earns credit with every placement, by its share of the demand. A group with a credit of 1 goes first.
#[derive(Clone, Debug, Default)]
pub struct PlacementTurns {
    credits: HashMap<Group, Credit>,
}

/// Requests of a pool with the same priority and organisation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Group {
    /// Hash of the pool's name.
    pool: u64,
    priority: u8,
    /// Hash of the organisation's name.
    organisation: Option<u64>,
}

/// Placements that a group is owed.
#[derive(Clone, Copy, Debug)]
struct Credit {
    amount: f64,
    updated_at: Tick,
}

/// Urgency of a group; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Urgency {
    priority: u8,
    /// Doublings by which the organisation has more running requests than others.
    excess: u32,
}

/// Urgency of the groups that wait, and the pools in which it differs.
#[derive(Debug, Default)]
struct Urgencies {
    groups: HashMap<Group, Urgency>,
    mixed: HashSet<u64>,
}

/// Place of a request among those of its pool; the smallest is placed first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Place {
    late: bool,
    /// Credit of the group, negated; 0 unless a placement is due to it.
    due: f64,
    /// Time waited as a share of the time for a placement, negated; 0 unless a placement is due.
    spent: f64,
    urgency: Urgency,
    arrived: Tick,
}

impl PlacementTurns {
    /// Orders `waiting` for placement.
    ///
    /// Requests that can still meet their target go before those that cannot. Among equals, groups to which a
    /// placement is due go first, with the request that has spent most of its wait; then the order is by
    /// priority, then by how much more requests of the organisation than of others are running by `ledgers`,
    /// then by arrival. Where all groups of a pool are equal in that, it is by arrival.
    pub fn order<Q>(&self, waiting: &mut [Q], ledgers: &HashMap<String, Ledger>, now: Tick)
    where
        Q: WaitingPlacement,
    {
        let urgencies = Urgencies::of(waiting, ledgers);
        waiting.sort_by_cached_key(|waiting| self.place(waiting, &urgencies, now));
    }

    /// Records that `placed` was placed while `others` wait; returns whether the order of those may have
    /// changed.
    pub fn record<'a, Q, I>(&mut self, placed: &'a Q, others: I, now: Tick) -> bool
    where
        Q: WaitingPlacement + 'a,
        I: Iterator<Item = &'a Q>,
    {
        let request = placed.request();
        let own = Group::of(request);
        let others = others.filter(|other| {
            let other = other.request();
            other.pool == request.pool && other.late == request.late
        });
        let mut demand: BTreeMap<_, f64> = BTreeMap::new();
        for waiting in others.chain([placed]) {
            let rate = 1.0 / budget(waiting.request()).as_secs_f64();
            *demand.entry(Group::of(waiting.request())).or_default() += rate;
        }
        if demand.len() < 2 {
            return false;
        }
        let total: f64 = demand.values().sum();
        for (group, rate) in demand {
            let earned = RESERVED_RATIO * rate / total;
            let spent = if group == own { 1.0 } else { 0.0 };
            let amount = (self.credit(group) + earned - spent).clamp(0.0, MAX_CREDIT);
            let updated_at = now;
            self.credits.insert(group, Credit { amount, updated_at });
        }
        self.credits
            .retain(|_, credit| now.since(credit.updated_at) < CREDIT_TIME);
        true
    }

    fn credit(&self, group: Group) -> f64 {
        self.credits.get(&group).map_or(0.0, |credit| credit.amount)
    }

    fn place<Q>(&self, waiting: &Q, urgencies: &Urgencies, now: Tick) -> Place
    where
        Q: WaitingPlacement,
    {
        let request = waiting.request();
        let waited = now.since(waiting.arrived()).as_secs_f64();
        let spent = waited / budget(request).as_secs_f64();
        let group = Group::of(request);
        let credit = self.credit(group);
        let is_due = credit >= 1.0 && urgencies.mixed.contains(&group.pool);
        Place {
            late: request.late,
            due: if is_due { -credit } else { 0.0 },
            spent: if is_due { -spent } else { 0.0 },
            urgency: urgencies.groups[&group],
            arrived: waiting.arrived(),
        }
    }
}

impl Urgencies {
    /// Determines the urgencies of the groups of `waiting`.
    fn of<Q>(waiting: &[Q], ledgers: &HashMap<String, Ledger>) -> Self
    where
        Q: WaitingPlacement,
    {
        let mut pools: HashMap<_, BTreeSet<Group>> = HashMap::new();
        for request in waiting.iter().map(WaitingPlacement::request) {
            let groups = pools.entry(request.pool.as_str()).or_default();
            groups.insert(Group::of(request));
        }
        let mut urgencies = Self::default();
        for (pool, groups) in pools {
            let mut running = BTreeMap::new();
            // Running requests matter only if several organisations wait.
            if groups.len() > 1 {
                let ledger = ledgers.get(pool);
                running = ledger.map(Ledger::running).unwrap_or_default();
            }
            for group in &groups {
                running.entry(group.organisation).or_insert(0);
            }
            let of_group = |group: &Group| Urgency {
                priority: group.priority,
                excess: excess_use(&running, group.organisation),
            };
            let first = groups.first().map(of_group);
            for group in &groups {
                let urgency = of_group(group);
                urgencies.groups.insert(*group, urgency);
                if Some(urgency) != first {
                    urgencies.mixed.insert(group.pool);
                }
            }
        }
        urgencies
    }
}

impl Group {
    fn of(request: &PlacementRequest) -> Self {
        Self {
            pool: name_hash(&request.pool),
            priority: request.priority,
            organisation: request.organisation,
        }
    }
}

impl Eq for Place {}

impl Ord for Place {
    fn cmp(&self, other: &Self) -> Ordering {
        let late = self.late.cmp(&other.late);
        late.then(self.due.total_cmp(&other.due))
            .then(self.spent.total_cmp(&other.spent))
            .then(self.urgency.cmp(&other.urgency))
            .then(self.arrived.cmp(&other.arrived))
    }
}

impl PartialOrd for Place {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Returns how long `request` may wait for a placement; at least a millisecond, as demand is estimated from
/// it.
fn budget(request: &PlacementRequest) -> Duration {
    let budget = WaitBudget::of(request.target).placement;
    budget.max(Duration::from_millis(1))
}
