//! Each check of the soak finds what it is there for, and lets pass what is allowed.

use {
    insta::assert_yaml_snapshot,
    lentillead_soak::{
        finding::Finding,
        witness::{Answer, Arrival, Ask, Kind, Order, Run, Seen, Trouble},
    },
    std::time::Duration,
};

/// When all trouble has ended.
const CALM: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn answer(at: u64, status: Option<u16>) -> Answer {
    Answer {
        at: ms(at),
        status,
        signed: status == Some(200),
        wrong: None,
        whole: status.is_some(),
    }
}

fn ask(kind: Kind, sent: u64, answer: Option<Answer>) -> Ask {
    Ask {
        kind,
        service: if kind == Kind::Stream {
            "models"
        } else {
            "ledger"
        },
        daemon: "front-1".to_owned(),
        sent: ms(sent),
        left: None,
        answer,
    }
}

fn run(request: &str, worker: &str, began: u64, ended: u64) -> Run {
    Run {
        request: request.to_owned(),
        worker: worker.to_owned(),
        began: ms(began),
        ended: Some(ms(ended)),
    }
}

fn trouble(daemon: &str, planned: bool, from: u64, until: u64) -> Trouble {
    Trouble {
        daemon: Some(daemon.to_owned()),
        planned,
        from: ms(from),
        until: ms(until),
    }
}

/// A record in which the last request is served, so that only what `change` adds is found.
fn found(change: impl FnOnce(&mut Seen)) -> Vec<String> {
    let mut seen = Seen::default();
    let last = ask(Kind::Safe, 101_000, Some(answer(101_020, Some(200))));
    seen.asks.insert("last".to_owned(), last);
    change(&mut seen);
    let found = Finding::all(&seen, CALM);
    found.iter().map(ToString::to_string).collect()
}

fn asked(seen: &mut Seen, ask: Ask) {
    seen.asks.insert("r1".to_owned(), ask);
}

#[test]
fn answers() {
    let refused = || ask(Kind::Unsafe, 10_000, Some(answer(10_100, Some(503))));
    let cut = || ask(Kind::Unsafe, 10_000, Some(answer(10_100, None)));
    let late = || ask(Kind::Safe, 10_000, Some(answer(14_600, Some(504))));
    let wrong = Answer {
        wrong: Some("body `done r2`".to_owned()),
        ..answer(10_100, Some(200))
    };
    let ran = || run("r1", "w1", 10_010, 10_090);
    let seen = vec![
        ("refused, not run", found(|seen| asked(seen, refused()))),
        (
            "refused, but run",
            found(|seen| {
                asked(seen, refused());
                seen.runs.push(ran());
            }),
        ),
        ("closed, not run", found(|seen| asked(seen, cut()))),
        (
            "closed, but run",
            found(|seen| {
                asked(seen, cut());
                seen.runs.push(ran());
            }),
        ),
        (
            "closed after a stop, but run",
            found(|seen| {
                asked(seen, cut());
                seen.runs.push(ran());
                seen.troubles.push(trouble("front-1", true, 9_000, 12_000));
            }),
        ),
        (
            "closed by a kill, but run",
            found(|seen| {
                asked(seen, cut());
                seen.runs.push(ran());
                seen.troubles.push(trouble("front-1", false, 9_000, 12_000));
            }),
        ),
        ("late", found(|seen| asked(seen, late()))),
        (
            "late after trouble elsewhere",
            found(|seen| {
                asked(seen, late());
                seen.troubles.push(trouble("front-2", false, 9_000, 12_000));
            }),
        ),
        (
            "late after trouble",
            found(|seen| {
                asked(seen, late());
                seen.troubles.push(trouble("front-1", false, 5_000, 8_000));
            }),
        ),
        (
            "never",
            found(|seen| asked(seen, ask(Kind::Stream, 10_000, None))),
        ),
        (
            "another's",
            found(|seen| asked(seen, ask(Kind::Safe, 10_000, Some(wrong)))),
        ),
    ];
    assert_yaml_snapshot!(seen);
}

#[test]
fn runs() {
    let twice = |kind| {
        found(|seen| {
            asked(seen, ask(kind, 10_000, Some(answer(10_100, Some(200)))));
            seen.runs.push(run("r1", "w1", 10_010, 10_030));
            seen.runs.push(run("r1", "w2", 10_050, 10_090));
        })
    };
    let drained = |began| {
        found(|seen| {
            asked(
                seen,
                ask(Kind::Safe, began, Some(answer(began + 50, Some(200)))),
            );
            seen.leaving.insert("w1".to_owned(), ms(10_000));
            seen.runs.push(run("r1", "w1", began, began + 20));
        })
    };
    let gone = |after: u64| {
        found(|seen| {
            for number in 0..8 {
                let left = Ask {
                    left: Some(ms(10_000)),
                    ..ask(Kind::Stream, 9_000, None)
                };
                seen.asks.insert(format!("g{number}"), left);
                seen.runs
                    .push(run(&format!("g{number}"), "w1", 9_010, 10_000 + after));
            }
        })
    };
    let seen = vec![
        ("a safe call, twice", twice(Kind::Safe)),
        ("an unsafe call, twice", twice(Kind::Unsafe)),
        ("at a worker that leaves, in time", drained(12_100)),
        ("at a worker that leaves, too late", drained(12_300)),
        ("without a caller, for 400 ms", gone(400)),
        ("without a caller, for 600 ms", gone(600)),
    ];
    assert_yaml_snapshot!(seen);
}

#[test]
fn fleets() {
    let arrivals = |count: usize| {
        found(|seen| {
            for number in 0..count {
                seen.arrivals.push(Arrival {
                    service: "ledger",
                    request: "r1".to_owned(),
                    at: ms(10_000 + number as u64),
                });
            }
        })
    };
    let orders = |pause| {
        found(|seen| {
            for (number, holder) in ["front-1", "front-2"].into_iter().enumerate() {
                seen.orders.push(Order {
                    worker: "w1".to_owned(),
                    holder: holder.to_owned(),
                    at: ms(10_000 + number as u64 * pause),
                });
            }
        })
    };
    let recovered = |status| {
        found(|seen| {
            for number in 0..8 {
                let ask = ask(Kind::Safe, 101_000, Some(answer(101_050, Some(status))));
                seen.asks.insert(format!("e{number}"), ask);
            }
        })
    };
    let seen = vec![
        ("retries within the slack", arrivals(51)),
        ("retries beyond it", arrivals(53)),
        ("orders of two holders, 4 s apart", orders(4_000)),
        ("orders of two holders, 2 s apart", orders(2_000)),
        ("served in the end", recovered(200)),
        ("not served in the end", recovered(502)),
    ];
    assert_yaml_snapshot!(seen);
}
