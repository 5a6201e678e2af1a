//! Order of calls that wait for room in a pool of plain services.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::Tick,
        decide::Waiting,
        request::{WaitingCalls, WaitingPlace},
    },
    std::{sync::Arc, time::Duration},
};

fn at(ms: u64) -> Tick {
    Tick(ms * 1_000)
}

/// A call of this priority that arrived at `arrived` and is due at `due`, in milliseconds.
fn waiting(priority: u8, arrived: u64, due: u64) -> Waiting {
    Waiting {
        arrived: at(arrived),
        priority,
        due: at(due),
        work: Duration::from_millis(40),
        share: 1.0,
    }
}

/// Guards against calls that overtake more urgent ones, and against places that outlive their calls.
#[test]
fn urgent_calls_that_can_meet_their_target_go_first() {
    let calls = Arc::<WaitingCalls>::default();
    let cases = [
        ("less urgent", waiting(1, 0, 300)),
        ("urgent", waiting(0, 20, 320)),
        ("urgent, due before", waiting(0, 30, 250)),
        ("urgent, late", waiting(0, 0, 60)),
        ("the same as the first", waiting(1, 0, 300)),
    ];
    let places: Vec<_> = cases
        .iter()
        .map(|(_, waiting)| WaitingCalls::join(&calls, *waiting))
        .collect();
    let now = at(50);
    let ahead = |waiting: &Waiting, place: Option<&WaitingPlace>| calls.ahead(waiting, place, now);
    let joined = cases.iter().zip(&places);
    let joined = joined.map(|((name, waiting), place)| (*name, ahead(waiting, Some(place))));
    let joined: Vec<_> = joined.collect();
    let new = waiting(0, 50, 350);
    let before = ahead(&new, None);
    drop(places);
    let after = ahead(&new, None);
    assert_yaml_snapshot!((
        joined,
        ("new and urgent", before),
        ("once the others are gone", after)
    ));
}
