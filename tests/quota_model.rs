//! Daemons together never exceed a quota in any window, whatever fails, and refuse next to nothing below it.

use {
    crate::quota_site::{Fault, Load, QUOTA, QuotaSite},
    insta::assert_snapshot,
    proptest::{
        prelude::{Just, Strategy, any},
        prop_assert, prop_oneof, proptest,
        test_runner::Config,
    },
    std::{fmt::Write, time::Duration},
};

/// A usual load: well below the limit, on all daemons.
const USUAL: Load = Load {
    demand: 0.6,
    spread: 1.0,
    streams: 0.8,
    wait_ms: 300,
    not_run: 0.02,
};

proptest! {
    #![proptest_config(Config { cases: 96, ..Config::default() })]

    /// Guards against credit that counts twice after a fault.
    #[test]
    fn no_window_exceeds_the_bound(
        seed in any::<u64>(),
        daemons in prop_oneof![Just(3_usize), Just(30)],
        steps in proptest::collection::vec((load(), faults(), 100_u64..5_000), 4..16),
    ) {
        let mut site = QuotaSite::new(daemons, seed);
        for (load, faults, ms) in &steps {
            for fault in faults {
                site.fault(*fault);
            }
            site.run(Duration::from_millis(*ms), *load);
        }
        let outcome = site.finish();
        prop_assert!(outcome.worst <= 1.0, "{outcome:?}");
    }
}

proptest! {
    #![proptest_config(Config { cases: 8, ..Config::default() })]

    /// The same at the size of a large deployment.
    #[test]
    fn no_window_exceeds_the_bound_with_300_daemons(
        seed in any::<u64>(),
        steps in proptest::collection::vec((load(), faults(), 500_u64..9_000), 2..4),
    ) {
        let mut site = QuotaSite::new(300, seed);
        for (load, faults, ms) in &steps {
            for fault in faults {
                site.fault(*fault);
            }
            site.run(Duration::from_millis(*ms), *load);
        }
        let outcome = site.finish();
        prop_assert!(outcome.worst <= 1.0, "{outcome:?}");
    }
}

fn load() -> impl Strategy<Value = Load> {
    // Without demand buckets fill up, and with much of it they are used at once.
    let demand = prop_oneof![2 => Just(0.0), 1 => 0.1..1.5, 3 => 2.0..8.0];
    (demand, 0.1..1.0, 0.0..1.0, 0_u64..3_000, 0.0..0.3).prop_map(
        |(demand, spread, streams, wait_ms, not_run)| Load {
            demand,
            spread,
            streams,
            wait_ms,
            not_run,
        },
    )
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    // Low numbers are the daemons that rank first as the accountant.
    let daemon = || prop_oneof![0_usize..3, any::<usize>()];
    let fault = prop_oneof![
        (daemon(), 0_u64..8_000).prop_map(|(daemon, down_ms)| Fault::Crash { daemon, down_ms }),
        (daemon(), 0_u64..12_000).prop_map(|(daemon, ms)| Fault::Pause { daemon, ms }),
        (any::<usize>(), 0_u64..12_000).prop_map(|(daemons, ms)| Fault::Cut { daemons, ms }),
        (1_u64..6_000, 0_u32..90, 0_u64..12_000).prop_map(|(delay_ms, lost_percent, ms)| {
            Fault::Slow {
                delay_ms,
                lost_percent,
                ms,
            }
        }),
        (0_usize..3).prop_map(|daemons| Fault::Join { daemons }),
    ];
    proptest::collection::vec(fault, 0..4)
}

/// Guards against refusals below the limit, from the first request on, and against credit that is lost for
/// good by faults.
#[test]
fn requests_below_the_limit_are_not_refused() {
    let mut report = String::new();
    for daemons in [3, 30, 300] {
        let mut site = QuotaSite::new(daemons, 7);
        let mut line = |site: &mut QuotaSite, phase: &str| {
            let outcome = site.reset();
            let refused = outcome.refused as f64 / outcome.requests.max(1) as f64;
            writeln!(
                report,
                "{daemons} daemons, {phase}: {:.1}% refused",
                refused * 100.0
            )
        };
        site.run(
            Duration::from_secs(2),
            Load {
                demand: 0.0,
                ..USUAL
            },
        );
        site.run(Duration::from_secs(3), USUAL);
        line(&mut site, "first 3 s").unwrap();
        site.run(Duration::from_secs(20), USUAL);
        line(&mut site, "60% of the rate").unwrap();
        let uneven = Load {
            spread: 0.1,
            ..USUAL
        };
        site.run(Duration::from_secs(10), uneven);
        line(&mut site, "on a tenth of the daemons").unwrap();
        site.fault(Fault::Crash {
            daemon: 0,
            down_ms: 3_000,
        });
        site.run(Duration::from_secs(10), USUAL);
        line(&mut site, "accountant crashes").unwrap();
        for daemon in 0..3 {
            site.fault(Fault::Pause { daemon, ms: 6_000 });
        }
        site.fault(Fault::Slow {
            delay_ms: 3_000,
            lost_percent: 50,
            ms: 6_000,
        });
        site.run(Duration::from_secs(15), USUAL);
        line(&mut site, "pauses and lost messages").unwrap();
        site.run(Duration::from_secs(10), USUAL);
        line(&mut site, "after them").unwrap();
        let full = Load {
            demand: 0.95,
            not_run: 0.0,
            ..USUAL
        };
        site.run(Duration::from_secs(10), full);
        line(&mut site, "95% of the rate").unwrap();
        let over = Load {
            demand: 7.5,
            ..USUAL
        };
        site.run(Duration::from_secs(10), over);
        let outcome = site.finish();
        assert!(outcome.worst <= 1.0, "{outcome:?}");
        let served = outcome.used as f64 / QUOTA.rate as f64;
        writeln!(
            report,
            "{daemons} daemons, 7.5 times the rate: {served:.1} s of the rate in 10 s; worst window of the run: {:.0}% of the bound",
            outcome.worst * 100.0
        )
        .unwrap();
    }
    assert_snapshot!(report);
}
