use {
    super::{
        bench_job::{Offered, arrivals},
        bench_owned::OwnedPolicy,
        bench_plain::{Choice, PlainPolicy},
        bench_profile::BenchProfile,
        bench_score::{BenchScore, Tally},
        bench_world::{Fault, Policy, World},
    },
    crate::{
        board::{Role, Tick},
        key::EndpointKey,
    },
    std::time::Duration,
};

/// Time at the start of a run that is not counted.
const WARM_UP: Duration = Duration::from_secs(10);

/// Time at the end of a run in which nothing arrives.
const COOL_DOWN: Duration = Duration::from_mins(1);

/// Age of load reports.
const LAG: Duration = Duration::from_secs(1);

/// Age of load reports when they are late.
const LATE_LAG: Duration = Duration::from_secs(5);

/// When a fault begins.
const FAULT_FROM: Duration = Duration::from_secs(30);

/// When a stalled link runs again.
const STALL_UNTIL: Duration = Duration::from_mins(1);

/// Share of the requests that must meet both targets at the capacity, in percent.
const CAPACITY_MET: f64 = 95.0;

/// Greatest rate tried when the capacity is looked for, in requests a second.
const RATE_MAX: f64 = 64.0;

/// Halvings of the interval in which the capacity lies.
const HALVINGS: u32 = 9;

/// Lengths and sizes of a measurement.
#[derive(Clone, Copy, Debug)]
pub(super) struct BenchPlan {
    /// Profile.
    pub(super) profile: BenchProfile,
    /// Time in which requests arrive.
    pub(super) length: Duration,
    /// Seeds, each a run of its own.
    pub(super) seeds: u64,
    /// Requests a second that the scenarios' loads are shares of.
    pub(super) capacity: f64,
}

impl BenchPlan {
    /// Finds the capacity: the greatest steady rate at which one owner that knows everything
    /// meets both targets for 95 requests in 100.
    pub(super) fn new(profile: BenchProfile, length: Duration, seeds: u64) -> Self {
        let (mut low, mut high) = (0.0, RATE_MAX);
        for _ in 0..HALVINGS {
            let capacity = f64::midpoint(low, high);
            let plan = Self {
                profile,
                length,
                seeds,
                capacity,
            };
            let score = Scenario::steady("capacity", 1.0).run(&plan, Decider::Whole);
            if score.met >= CAPACITY_MET {
                low = capacity;
            } else {
                high = capacity;
            }
        }
        Self {
            profile,
            length,
            seeds,
            capacity: low,
        }
    }
}

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    /// Name in tables.
    pub(super) name: &'static str,
    /// Offered load as a share of the capacity.
    pub(super) load: f64,
    /// Factor of the bursts; 1 for none.
    pub(super) burst: f64,
    /// Age of load reports.
    pub(super) lag: Duration,
    /// Fault of one endpoint.
    pub(super) fault: Option<Trouble>,
}

/// Fault of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Trouble {
    /// The first endpoint of the role breaks every request.
    Broken(Role),
    /// The first prefill endpoint's link stalls for a while.
    Stalled,
}

/// Who decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Decider {
    /// Each host for itself, at random.
    Random,
    /// Each host for itself, the least load by lagging reports.
    LeastLoaded,
    /// Owners that grant, as the daemon does.
    Owners,
    /// One owner that knows every engine: the same decisions without delay or division.
    Whole,
}

impl Decider {
    /// Every policy, in the order of the table.
    pub(super) const ALL: [Self; 4] = [Self::Random, Self::LeastLoaded, Self::Owners, Self::Whole];

    /// Name in tables.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastLoaded => "least-loaded",
            Self::Owners => "lentillead",
            Self::Whole => "one-owner",
        }
    }
}

impl Scenario {
    /// A steady load.
    pub(super) fn steady(name: &'static str, load: f64) -> Self {
        Self {
            name,
            load,
            burst: 1.0,
            lag: LAG,
            fault: None,
        }
    }

    /// The scenarios of the table.
    pub(super) fn all() -> Vec<Self> {
        let steady = |name| Self::steady(name, 0.9);
        vec![
            steady("steady"),
            Self::steady("full", 1.0),
            Self {
                burst: 1.6,
                ..Self::steady("burst", 0.8)
            },
            Self {
                fault: Some(Trouble::Broken(Role::Decode)),
                ..steady("broken-decode")
            },
            Self {
                fault: Some(Trouble::Broken(Role::Prefill)),
                ..steady("broken-prefill")
            },
            Self {
                fault: Some(Trouble::Stalled),
                ..steady("stalled-link")
            },
            Self {
                lag: LATE_LAG,
                ..steady("late-reports")
            },
            Self::steady("overload", 1.3),
        ]
    }

    /// Runs the scenario once for each seed.
    pub(super) fn run(&self, plan: &BenchPlan, decider: Decider) -> BenchScore {
        let mut tally = Tally::new();
        for seed in 0..plan.seeds {
            let world = self.run_once(plan, decider, seed);
            let start = Tick::default();
            tally.add(&world, start + WARM_UP, start + plan.length);
        }
        tally.score(plan.profile.name, self.name, decider.name(), self.load)
    }

    fn run_once(&self, plan: &BenchPlan, decider: Decider, seed: u64) -> World {
        let end = Tick::default() + plan.length + COOL_DOWN;
        let mut world = World::new(&plan.profile, self.lag, end);
        let offered = Offered {
            rate: plan.capacity * self.load,
            burst: self.burst,
            length: plan.length,
        };
        world.add_jobs(arrivals(&plan.profile, &offered, seed));
        self.add_faults(&mut world);
        match decider {
            Decider::Random => drive(PlainPolicy::new(Choice::Random, seed), &mut world),
            Decider::LeastLoaded => drive(PlainPolicy::new(Choice::LeastLoaded, seed), &mut world),
            Decider::Owners => drive(OwnedPolicy::new(&world, false), &mut world),
            Decider::Whole => drive(OwnedPolicy::new(&world, true), &mut world),
        }
        world
    }

    fn add_faults(&self, world: &mut World) {
        let first = |role| -> EndpointKey { world.engines_of(role)[0] };
        match self.fault {
            None => {}
            Some(Trouble::Broken(role)) => {
                let engine = first(role);
                world.add_fault(FAULT_FROM, Fault::Break(engine));
            }
            Some(Trouble::Stalled) => {
                let engine = first(Role::Prefill);
                world.add_fault(FAULT_FROM, Fault::Stall(engine));
                world.add_fault(STALL_UNTIL, Fault::Unstall(engine));
            }
        }
    }
}

/// Lets a policy serve a world to its end.
fn drive<P>(mut policy: P, world: &mut World)
where
    P: Policy,
{
    while let Some(notice) = world.next_notice() {
        policy.take(world, notice);
    }
}
