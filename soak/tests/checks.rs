//! Each check of the soak finds the violations of its guarantee and accepts what is allowed.

use {
    insta::assert_yaml_snapshot,
    lentillead_soak::{
        finding::Finding,
        recorder::{
            Arrival, CallerRequest, CallerResponse, Disturbance, History, Pause, RoleOrder,
            RouteKind, Run, RunEnd,
        },
    },
    std::time::Duration,
};

/// Time from which requests must be served: all disturbances have ended.
const SETTLED: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn response(at: u64, status: Option<u16>) -> CallerResponse {
    CallerResponse {
        at: ms(at),
        status,
        stamped: status == Some(200),
        mismatch: None,
        complete: status.is_some(),
    }
}

fn request(kind: RouteKind, sent: u64, response: Option<CallerResponse>) -> CallerRequest {
    CallerRequest {
        kind,
        service: if kind == RouteKind::Stream {
            "models"
        } else {
            "ledger"
        },
        daemon: "front-1".to_owned(),
        sent: ms(sent),
        disconnected: None,
        response,
    }
}

fn run(request: &str, worker: &str, began: u64, ended: u64) -> Run {
    Run {
        request: request.to_owned(),
        worker: worker.to_owned(),
        began: ms(began),
        ended: Some(ms(ended)),
        end: RunEnd::Complete,
    }
}

fn disturbance(daemon: &str, planned: bool, from: u64, until: u64) -> Disturbance {
    Disturbance {
        daemon: Some(daemon.to_owned()),
        planned,
        stopped: planned,
        from: ms(from),
        until: ms(until),
    }
}

fn arrival(request: &str, at: u64) -> Arrival {
    Arrival {
        service: "ledger",
        worker: "w1".to_owned(),
        request: request.to_owned(),
        at: ms(at),
        faulty_link: false,
    }
}

/// Findings in a history that `change` extends. Its last request is served, so that only what
/// `change` adds is found.
fn found(change: impl FnOnce(&mut History)) -> Vec<String> {
    let mut history = History::default();
    let last = request(RouteKind::Safe, 101_000, Some(response(101_020, Some(200))));
    history.requests.insert("last".to_owned(), last);
    change(&mut history);
    let found = Finding::all(&history, SETTLED, 50);
    found.iter().map(ToString::to_string).collect()
}

fn add_request(history: &mut History, request: CallerRequest) {
    history.requests.insert("r1".to_owned(), request);
}

#[test]
fn responses() {
    let refused = || request(RouteKind::Unsafe, 10_000, Some(response(10_100, Some(503))));
    let closed = || request(RouteKind::Unsafe, 10_000, Some(response(10_100, None)));
    let late = || request(RouteKind::Safe, 10_000, Some(response(14_600, Some(504))));
    let mismatch = CallerResponse {
        mismatch: Some("body `done r2`".to_owned()),
        ..response(10_100, Some(200))
    };
    let ran = || run("r1", "w1", 10_010, 10_090);
    let cases = vec![
        (
            "refused, not run",
            found(|history| add_request(history, refused())),
        ),
        (
            "refused, but run",
            found(|history| {
                add_request(history, refused());
                history.runs.push(ran());
            }),
        ),
        (
            "closed, not run",
            found(|history| add_request(history, closed())),
        ),
        (
            "closed, but run",
            found(|history| {
                add_request(history, closed());
                history.runs.push(ran());
            }),
        ),
        (
            "closed after a stop, but run",
            found(|history| {
                add_request(history, closed());
                history.runs.push(ran());
                history
                    .disturbances
                    .push(disturbance("front-1", true, 9_000, 12_000));
            }),
        ),
        (
            "closed by a kill, but run",
            found(|history| {
                add_request(history, closed());
                history.runs.push(ran());
                history
                    .disturbances
                    .push(disturbance("front-1", false, 9_000, 12_000));
            }),
        ),
        ("late", found(|history| add_request(history, late()))),
        (
            "late after trouble elsewhere",
            found(|history| {
                add_request(history, late());
                history
                    .disturbances
                    .push(disturbance("front-2", false, 9_000, 12_000));
            }),
        ),
        (
            "late after trouble",
            found(|history| {
                add_request(history, late());
                history
                    .disturbances
                    .push(disturbance("front-1", false, 5_000, 8_000));
            }),
        ),
        (
            "never",
            found(|history| add_request(history, request(RouteKind::Stream, 10_000, None))),
        ),
        (
            "another's",
            found(|history| add_request(history, request(RouteKind::Safe, 10_000, Some(mismatch)))),
        ),
    ];
    assert_yaml_snapshot!(cases);
}

#[test]
fn streams_around_a_stop() {
    let broken = |sent: u64, at: u64, end: RunEnd| {
        found(|history| {
            let half = CallerResponse {
                complete: false,
                ..response(at, Some(200))
            };
            add_request(history, request(RouteKind::Stream, sent, Some(half)));
            let ran = run("r1", "w1", sent + 10, at - 5);
            history.runs.push(Run { end, ..ran });
            history.stops.push(("front-1".to_owned(), ms(10_000)));
            let stop = disturbance("front-1", true, 10_000, 18_000);
            history.disturbances.push(stop);
        })
    };
    let cases = vec![
        (
            "broken off before the signal",
            broken(8_000, 9_900, RunEnd::Dropped),
        ),
        (
            "broken off after it",
            broken(8_000, 10_600, RunEnd::Dropped),
        ),
        ("cut by its worker", broken(8_000, 10_600, RunEnd::Cut)),
        (
            "at the time-out of its route",
            broken(8_000, 14_000, RunEnd::Dropped),
        ),
        (
            "sent after the signal, before the last sixth of the grace",
            broken(12_900, 16_600, RunEnd::Dropped),
        ),
        (
            "sent after the signal, in the last sixth of the grace",
            broken(12_900, 16_700, RunEnd::Dropped),
        ),
        (
            "sent over 3 s after the signal, in the last sixth of the grace",
            broken(13_100, 16_700, RunEnd::Dropped),
        ),
        (
            "over 1 s after the grace",
            broken(14_000, 19_100, RunEnd::Dropped),
        ),
    ];
    assert_yaml_snapshot!(cases);
}

#[test]
fn runs() {
    let repeated = |kind| {
        found(|history| {
            add_request(
                history,
                request(kind, 10_000, Some(response(10_100, Some(200)))),
            );
            history.runs.push(run("r1", "w1", 10_010, 10_030));
            history.runs.push(run("r1", "w2", 10_050, 10_090));
        })
    };
    let drained = |began| {
        found(|history| {
            add_request(
                history,
                request(
                    RouteKind::Safe,
                    began,
                    Some(response(began + 50, Some(200))),
                ),
            );
            history.drains.insert("w1".to_owned(), ms(10_000));
            history.runs.push(run("r1", "w1", began, began + 20));
        })
    };
    let orphaned = |after: u64| {
        found(|history| {
            for number in 0..8 {
                let abandoned = CallerRequest {
                    disconnected: Some(ms(10_000)),
                    ..request(RouteKind::Stream, 9_000, None)
                };
                history.requests.insert(format!("g{number}"), abandoned);
                history
                    .runs
                    .push(run(&format!("g{number}"), "w1", 9_010, 10_000 + after));
            }
        })
    };
    let cases = vec![
        ("a safe call, twice", repeated(RouteKind::Safe)),
        ("an unsafe call, twice", repeated(RouteKind::Unsafe)),
        ("at a worker that leaves, in time", drained(12_100)),
        ("at a worker that leaves, too late", drained(12_300)),
        ("without a caller, for 400 ms", orphaned(400)),
        ("without a caller, for 600 ms", orphaned(600)),
    ];
    assert_yaml_snapshot!(cases);
}

#[test]
fn retries_orders_and_recovery() {
    let arrivals = |count: usize| {
        found(|history| {
            for number in 0..count {
                let arrival = arrival("r1", 10_000 + number as u64);
                history.arrivals.push(arrival);
            }
        })
    };
    let orders = |pause| {
        found(|history| {
            for (number, holder) in ["front-1", "front-2"].into_iter().enumerate() {
                history.orders.push(RoleOrder {
                    worker: "w1".to_owned(),
                    holder: holder.to_owned(),
                    at: ms(10_000 + number as u64 * pause),
                });
            }
        })
    };
    let recovered = |status| {
        found(|history| {
            for number in 0..8 {
                let request = request(
                    RouteKind::Safe,
                    101_000,
                    Some(response(101_050, Some(status))),
                );
                history.requests.insert(format!("e{number}"), request);
            }
        })
    };
    let cases = vec![
        ("retries within the slack", arrivals(51)),
        ("retries beyond it", arrivals(53)),
        ("orders of two holders, 4 s apart", orders(4_000)),
        ("orders of two holders, 2 s apart", orders(2_000)),
        ("served in the end", recovered(200)),
        ("not served in the end", recovered(502)),
    ];
    assert_yaml_snapshot!(cases);
}

#[test]
fn what_workers_say_of_themselves() {
    // A daemon that the store does not reach passes on the response of a worker that leaves.
    let told = |sent: u64, stopped: bool| {
        found(|history| {
            history.drains.insert("w1".to_owned(), ms(10_000));
            let cut = disturbance("front-1", false, 9_000, 15_000);
            history.disturbances.push(Disturbance { stopped, ..cut });
            for (id, sent) in [("r1", 10_100), ("r2", sent)] {
                let answer = response(sent + 30, Some(200));
                let request = request(RouteKind::Safe, sent, Some(answer));
                history.requests.insert(id.to_owned(), request);
                history.runs.push(run(id, "w1", sent + 10, sent + 20));
            }
        })
    };
    let paused = |first: u64, faulty_link: bool| {
        found(|history| {
            history.pauses.push(Pause {
                worker: "w1".to_owned(),
                request: "p0".to_owned(),
                from: ms(10_000),
                until: ms(11_500),
            });
            for number in 0..4 {
                let id = format!("p{number}");
                let at = if number == 0 { 10_000 } else { first + number };
                let request = request(RouteKind::Safe, at, Some(response(at + 20, Some(200))));
                history.requests.insert(id.clone(), request);
                let arrival = arrival(&id, at);
                history.arrivals.push(Arrival {
                    faulty_link,
                    ..arrival
                });
            }
        })
    };
    let cases = vec![
        ("it leaves, told in time", told(12_100, false)),
        ("it leaves, told too long ago", told(12_200, false)),
        ("it leaves, told before a restart", told(12_200, true)),
        ("it wants none, just told", paused(10_400, false)),
        ("it wants none", paused(10_600, false)),
        ("it wants none, over a faulty link", paused(10_600, true)),
        ("it wants some again", paused(11_500, false)),
    ];
    assert_yaml_snapshot!(cases);
}
