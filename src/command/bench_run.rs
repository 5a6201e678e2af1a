use {
    super::{
        bench_job::{OfferedLoad, arrivals},
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

/// Time at the start of a run whose arrivals are not counted.
const WARM_UP: Duration = Duration::from_secs(10);

/// Time at the end of a run without arrivals, in which the requests in progress end.
const COOL_DOWN: Duration = Duration::from_mins(1);

/// Delay with which load reports arrive.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// Delay with which load reports arrive in the scenario of late reports.
const LATE_REPORT_AGE: Duration = Duration::from_secs(5);

/// Time into the run at which a fault begins.
const FAULT_START: Duration = Duration::from_secs(30);

/// Time into the run at which a stalled link resumes.
const STALL_END: Duration = Duration::from_mins(1);

/// Percentage of the requests that must meet both targets at the capacity.
const CAPACITY_MET_PERCENT: f64 = 95.0;

/// Upper bound of the search for the capacity, in requests per second.
const MAX_REQUESTS_PER_S: f64 = 64.0;

/// Number of bisections in the search for the capacity.
const CAPACITY_BISECTIONS: u32 = 9;

/// Parameters that all scenarios of a profile have in common.
#[derive(Clone, Copy, Debug)]
pub(super) struct BenchPlan {
    /// Endpoints and request sizes.
    pub(super) profile: BenchProfile,
    /// Period of arrivals.
    pub(super) length: Duration,
    /// Number of seeds; each is simulated separately.
    pub(super) seeds: u64,
    /// Capacity in requests per second, to which the loads of the scenarios are relative.
    pub(super) capacity: f64,
}

impl BenchPlan {
    /// Creates a plan and finds the capacity by bisection: the greatest steady rate at which
    /// [`PolicyKind::SingleOwner`] meets both targets for 95 requests in 100.
    pub(super) fn new(profile: BenchProfile, length: Duration, seeds: u64) -> Self {
        let (mut low, mut high) = (0.0, MAX_REQUESTS_PER_S);
        for _ in 0..CAPACITY_BISECTIONS {
            let capacity = f64::midpoint(low, high);
            let plan = Self {
                profile,
                length,
                seeds,
                capacity,
            };
            let score = Scenario::steady("capacity", 1.0).run(&plan, PolicyKind::SingleOwner);
            if score.met >= CAPACITY_MET_PERCENT {
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

/// Load and faults of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    /// Name in tables.
    pub(super) name: &'static str,
    /// Offered load as a ratio to the capacity.
    pub(super) load: f64,
    /// Ratio of the rate during a burst to the mean rate; 1 for no bursts.
    pub(super) burst: f64,
    /// Delay with which load reports arrive.
    pub(super) report_age: Duration,
    /// Fault of one endpoint; `None` if all endpoints work.
    pub(super) fault: Option<EndpointFault>,
}

/// Fault of one endpoint in a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EndpointFault {
    /// The first endpoint of the role fails every request.
    Broken(Role),
    /// The link of the first prefill endpoint stalls from 30 s to 60 s into the run.
    Stalled,
}

/// Policies that are compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PolicyKind {
    /// Each host chooses endpoints by itself, at random.
    Random,
    /// Each host chooses the least loaded endpoint by itself, from load reports that arrive late.
    LeastLoaded,
    /// Owners grant endpoints, as in the daemon.
    Owners,
    /// The decisions of the daemon by one owner of all engines, which knows their state without
    /// delay.
    SingleOwner,
}

impl PolicyKind {
    /// All policies, in the order of the table.
    pub(super) const ALL: [Self; 4] = [
        Self::Random,
        Self::LeastLoaded,
        Self::Owners,
        Self::SingleOwner,
    ];

    /// Name in tables.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastLoaded => "least-loaded",
            Self::Owners => "lentillead",
            Self::SingleOwner => "one-owner",
        }
    }
}

impl Scenario {
    /// Returns a scenario with a steady load and no faults.
    pub(super) fn steady(name: &'static str, load: f64) -> Self {
        Self {
            name,
            load,
            burst: 1.0,
            report_age: REPORT_AGE,
            fault: None,
        }
    }

    /// Returns the scenarios of the table.
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
                fault: Some(EndpointFault::Broken(Role::Decode)),
                ..steady("broken-decode")
            },
            Self {
                fault: Some(EndpointFault::Broken(Role::Prefill)),
                ..steady("broken-prefill")
            },
            Self {
                fault: Some(EndpointFault::Stalled),
                ..steady("stalled-link")
            },
            Self {
                report_age: LATE_REPORT_AGE,
                ..steady("late-reports")
            },
            Self::steady("overload", 1.3),
        ]
    }

    /// Simulates the scenario once per seed and returns the score over all seeds.
    pub(super) fn run(&self, plan: &BenchPlan, policy: PolicyKind) -> BenchScore {
        let mut tally = Tally::new();
        for seed in 0..plan.seeds {
            let world = self.run_once(plan, policy, seed);
            let start = Tick::default();
            tally.add(&world, start + WARM_UP, start + plan.length);
        }
        tally.score(plan.profile.name, self.name, policy.name(), self.load)
    }

    fn run_once(&self, plan: &BenchPlan, policy: PolicyKind, seed: u64) -> World {
        let end = Tick::default() + plan.length + COOL_DOWN;
        let mut world = World::new(&plan.profile, self.report_age, end);
        let offered = OfferedLoad {
            rate: plan.capacity * self.load,
            burst: self.burst,
            length: plan.length,
        };
        world.add_jobs(arrivals(&plan.profile, &offered, seed));
        self.add_faults(&mut world);
        match policy {
            PolicyKind::Random => run(PlainPolicy::new(Choice::Random, seed), &mut world),
            PolicyKind::LeastLoaded => run(PlainPolicy::new(Choice::LeastLoaded, seed), &mut world),
            PolicyKind::Owners => run(OwnedPolicy::new(&world, false), &mut world),
            PolicyKind::SingleOwner => run(OwnedPolicy::new(&world, true), &mut world),
        }
        world
    }

    fn add_faults(&self, world: &mut World) {
        let first = |role| -> EndpointKey { world.engines_of(role)[0] };
        match self.fault {
            None => {}
            Some(EndpointFault::Broken(role)) => {
                let engine = first(role);
                world.add_fault(FAULT_START, Fault::Break(engine));
            }
            Some(EndpointFault::Stalled) => {
                let engine = first(Role::Prefill);
                world.add_fault(FAULT_START, Fault::Stall(engine));
                world.add_fault(STALL_END, Fault::ResumeLink(engine));
            }
        }
    }
}

/// Passes every notice of a run to the policy until the run ends.
fn run<P>(mut policy: P, world: &mut World)
where
    P: Policy,
{
    while let Some(notice) = world.next_notice() {
        policy.handle(world, notice);
    }
}
