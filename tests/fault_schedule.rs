//! Fault schedules drawn from seeds; the invariants must hold under each schedule.

use {
    lentillead::emulator::{FaultReport, FaultSchedule, Profile, run_schedule},
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, FileFailurePersistence, RngSeed},
    },
    tokio::runtime::Runtime,
};

/// Number of schedules for each profile; `just faults` runs more.
const CASES: u32 = 20;

/// Largest number of faults in a schedule.
const MAX_FAULTS: usize = 16;

/// Seeds of schedules that broke an invariant in the past.
const REGRESSIONS: [(Profile, u64); 0] = [];

fn config(seed: u64) -> Config {
    Config {
        cases: CASES,
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(
            "tests/proptest-regressions/fault_schedule.txt",
        ))),
        // A fixed seed draws the same schedules in every run.
        rng_seed: RngSeed::Fixed(seed),
        max_shrink_iters: 40,
        ..Config::default()
    }
}

fn run(schedule: &FaultSchedule) -> FaultReport {
    let runtime = Runtime::new().unwrap();
    runtime.block_on(run_schedule(schedule)).unwrap()
}

fn holds(profile: Profile, seed: u64, flags: &[bool]) -> Result<(), TestCaseError> {
    let schedule = FaultSchedule::draw(profile, seed).keep(flags);
    let report = run(&schedule);
    let broken = report.verdict.is_broken();
    prop_assert!(!broken, "{report:?} under {:?}", schedule.events);
    Ok(())
}

/// One flag for each fault, true if the fault stays in the schedule; shrinking clears the flags one
/// after another.
fn flags() -> impl Strategy<Value = Vec<bool>> {
    vec(proptest::bool::weighted(0.95), MAX_FAULTS)
}

proptest! {
    #![proptest_config(config(1))]
    #[test]
    fn kovacsreti_holds(seed in any::<u64>().no_shrink(), flags in flags()) {
        holds(Profile::Kovacsreti, seed, &flags)?;
    }
}

proptest! {
    #![proptest_config(config(2))]
    #[test]
    fn trin_cymru_holds(seed in any::<u64>().no_shrink(), flags in flags()) {
        holds(Profile::TrinCymru, seed, &flags)?;
    }
}

#[test]
fn past_failures_do_not_recur() {
    for (profile, seed) in REGRESSIONS {
        let report = run(&FaultSchedule::draw(profile, seed));
        assert!(!report.verdict.is_broken(), "{report:?}");
    }
}
