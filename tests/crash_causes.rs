//! Engines that crash under requests which share one part of their prompts, and nothing else.

use {
    crate::listed::{listed, publish_engines},
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Blackboard, Role, Tick, Writers},
        control::{AllocationController, AllocationHandle},
        decide::{Crash, CrashRecord},
        key::CauseKey,
        port::{
            CallEnd, CallVerdict, MonoClock, PeerCall, PlacementEnd, PlacementOutcome,
            PlacementReply, PlacementRequest, PlacerHandover, PoolUpdate, RefusalUpdate, RunEnd,
        },
    },
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Part that every prompt begins with.
const FIRST: CauseKey = CauseKey(1);

/// Part that crashes engines.
const DEADLY: CauseKey = CauseKey(2);

/// A daemon that places the streams of one pool with many decode engines.
struct Placer {
    handle: AllocationHandle,
    next: u64,
    _writers: Writers,
}

impl Placer {
    fn start() -> Self {
        let (board, mut writers) = Blackboard::new();
        let names = (0..9).map(|number| format!("d{number}"));
        let engines: Vec<_> = names
            .map(|name| listed(&name, "models", Role::Decode))
            .collect();
        publish_engines(&mut writers, &engines);
        let (controller, handle) = AllocationController::new(board, MonoClock::start());
        tokio::spawn(controller.run());
        Self {
            handle,
            next: 0,
            _writers: writers,
        }
    }

    /// Requests the placement of a stream with `parts` and a fingerprint of its own.
    async fn place(&mut self, parts: &[CauseKey]) -> (u64, Vec<CauseKey>, PlacementReply) {
        self.next += 1;
        let id = self.next;
        let mut causes = vec![CauseKey(1_000 + id)];
        causes.extend(parts);
        let request = PlacementRequest {
            id,
            pool: "models".to_owned(),
            prompt_tokens: 100,
            output_tokens: 100,
            late: false,
            waited: Duration::ZERO,
            target: Duration::from_millis(900),
            priority: 0,
            organisation: None,
            remote_prefill: false,
            avoid: Vec::new(),
            unreachable: Vec::new(),
            causes: causes.clone(),
            limits: Vec::new(),
        };
        let reply = self.handle.place(request).await;
        (id, causes, reply)
    }

    /// Reports that a call at a plain service crashed endpoint `number`.
    async fn crash_call(&self, number: usize) -> CallVerdict {
        let end = CallEnd {
            pool: "models".to_owned(),
            endpoint: format!("d{number}"),
            causes: vec![CauseKey::of_request(7)],
            run: RunEnd::Crashed,
            ran_for: Duration::from_millis(60),
        };
        self.handle.end_call(end).await.expect("the placer runs")
    }

    /// Runs a stream with `parts` to the end `run`; returns whether it was placed.
    async fn run(&mut self, parts: &[CauseKey], engine: &str, run: RunEnd) -> &'static str {
        let (id, causes, reply) = self.place(parts).await;
        match reply.outcome {
            PlacementOutcome::Placed { suspect, .. } => {
                self.handle.end(PlacementEnd {
                    id,
                    pool: "models".to_owned(),
                    engine: engine.to_owned(),
                    causes,
                    run,
                    ran_for: Duration::ZERO,
                    complete: false,
                    generated_tokens: 0,
                    decode_time: Duration::ZERO,
                    prefill_time: Duration::ZERO,
                });
                if suspect { "placed once" } else { "placed" }
            }
            PlacementOutcome::Refused(_) => "refused",
            PlacementOutcome::Wait
            | PlacementOutcome::Limited(_)
            | PlacementOutcome::Unavailable => "not placed",
        }
    }
}

/// Counts crashes of `engines` under `causes`, one each second from `start` on, and returns the
/// causes that were refused after each.
fn crash(
    record: &mut CrashRecord,
    causes: &[CauseKey],
    engines: std::ops::Range<u64>,
    start: u64,
) -> Vec<Vec<CauseKey>> {
    let crash = |(second, number): (u64, u64)| {
        let now = at(start + second);
        record.record_crash(causes, &crash_of(&format!("d{number}"), now), now);
        let refused = record.refused().list(now).into_iter();
        refused.map(|(cause, _)| cause).collect()
    };
    (0..).zip(engines).map(crash).collect()
}

/// Returns the crash of `engine` at `now` in a run that began just before.
fn crash_of(engine: &str, now: Tick) -> Crash {
    Crash {
        engine: engine.to_owned(),
        started: now.before(Duration::from_millis(10)),
        ended: now,
    }
}

fn at(second: u64) -> Tick {
    Tick::default() + Duration::from_secs(second)
}

#[tokio::test(start_paused = true)]
async fn prompts_with_a_part_under_which_three_engines_crashed_are_refused_and_others_are_not() {
    let mut placer = Placer::start();
    let mut seen = Vec::new();
    for number in 0..6 {
        let engine = format!("d{number}");
        let subject = CauseKey(10 + number % 2);
        let deadly = placer
            .run(&[FIRST, DEADLY, subject], &engine, RunEnd::Crashed)
            .await;
        // A sound stream beside it is cut off too; the next one with the same parts is answered.
        let beside = placer
            .run(&[FIRST, subject], &engine, RunEnd::Crashed)
            .await;
        let sound = placer
            .run(&[FIRST, subject], &engine, RunEnd::Answered)
            .await;
        seen.push((deadly, beside, sound));
        sleep(Duration::from_secs(1)).await;
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_begins_to_place_streams_refuses_what_the_one_before_it_refused() {
    let mut first = Placer::start();
    for engine in ["d1", "d2", "d3"] {
        first.run(&[FIRST, DEADLY], engine, RunEnd::Crashed).await;
        first.run(&[FIRST], engine, RunEnd::Answered).await;
        sleep(Duration::from_secs(1)).await;
    }
    let (.., reply) = first.place(&[FIRST]).await;
    let mut next = Placer::start();
    let handover = PlacerHandover {
        pool: "models".to_owned(),
        refused: reply.refused,
        ..PlacerHandover::default()
    };
    next.handle
        .handle(PeerCall::AdoptPlacements(handover))
        .await;
    let deadly = next.run(&[FIRST, DEADLY], "d4", RunEnd::Crashed).await;
    let sound = next.run(&[FIRST], "d4", RunEnd::Answered).await;
    assert_eq!((deadly, sound), ("refused", "placed"));
}

#[tokio::test(start_paused = true)]
async fn of_a_refused_part_two_requests_are_let_through_in_a_day() {
    let mut placer = Placer::start();
    let mut times = Vec::new();
    let start = Instant::now();
    while start.elapsed() < Duration::from_hours(23) {
        let engine = format!("d{}", times.len() % 9);
        let outcome = placer.run(&[DEADLY], &engine, RunEnd::Crashed).await;
        if outcome != "refused" {
            times.push(start.elapsed().as_secs());
        }
        sleep(Duration::from_millis(500)).await;
    }
    assert_yaml_snapshot!(times);
}

#[tokio::test(start_paused = true)]
async fn a_part_is_no_longer_refused_once_a_probe_was_answered() {
    let mut placer = Placer::start();
    for number in 0..4 {
        let engine = format!("d{number}");
        placer.run(&[DEADLY], &engine, RunEnd::Crashed).await;
        sleep(Duration::from_millis(500)).await;
    }
    sleep(Duration::from_secs(20)).await;
    let probe = placer.run(&[DEADLY], "d1", RunEnd::Answered).await;
    let after = placer.run(&[DEADLY], "d1", RunEnd::Answered).await;
    assert_eq!((probe, after), ("placed once", "placed"));
}

#[test]
fn engines_that_fail_together_are_not_put_down_to_what_their_prompts_share() {
    let mut record = CrashRecord::default();
    let mut refused = 0;
    for outage in 0..4 {
        for engine in 0..9 {
            let causes = [FIRST, CauseKey(100 + engine)];
            let crash = crash_of(&format!("d{engine}"), at(outage));
            let crashed = record.record_crash(&causes, &crash, at(outage));
            refused += crashed.len();
        }
        record.record_answer(&[FIRST], at(outage));
    }
    assert_eq!(refused, 0);
}

#[test]
fn of_several_parts_without_answers_only_the_one_with_the_oldest_answer_is_refused() {
    let mut seen = Vec::new();
    let answers: [(&str, &[(CauseKey, u64)]); 3] = [
        ("the first part was answered", &[(FIRST, 10)]),
        (
            "the deadly part was sound before",
            &[(DEADLY, 5), (FIRST, 10)],
        ),
        ("neither was answered", &[]),
    ];
    for (name, answered) in answers {
        let mut record = CrashRecord::default();
        for (cause, second) in answered {
            record.record_answer(&[*cause], at(*second));
        }
        let refused = crash(&mut record, &[FIRST, DEADLY], 0..7, 11);
        seen.push((name, refused));
    }
    assert_yaml_snapshot!(seen);
}

#[test]
fn crashes_of_an_engine_that_starts_again_each_time_count() {
    let mut record = CrashRecord::default();
    let mut seen = Vec::new();
    for (second, engine) in [(0, "a"), (1, "a"), (2, "b"), (3, "b"), (8, "b")] {
        record.record_crash(&[DEADLY], &crash_of(engine, at(second)), at(second));
        let refused = record.refused().remaining(&[DEADLY], at(second));
        seen.push((second, engine, refused.map(|left| left.as_secs())));
    }
    assert_yaml_snapshot!(seen);
}

/// A day on which a call that crashes each endpoint comes every two seconds: probes went on all day, and each
/// crashed one more endpoint.
#[tokio::test(start_paused = true)]
async fn over_a_day_a_request_that_crashes_endpoints_reaches_them_three_more_times_at_most() {
    let placer = Placer::start();
    let mut reached = 0;
    let mut refused_until = Instant::now();
    let end = Instant::now() + Duration::from_hours(24);
    while Instant::now() < end {
        if Instant::now() >= refused_until {
            reached += 1;
            let verdict = placer.crash_call(reached).await;
            let left = verdict.refused.first().map(|(_, left)| *left);
            refused_until = Instant::now() + left.unwrap_or_default();
        }
        sleep(Duration::from_secs(2)).await;
    }
    assert!(
        reached <= 3 + 3,
        "{reached} requests reached endpoints, three of them before it could be known"
    );
}

#[test]
fn a_request_whose_next_attempt_began_after_the_last_crash_counts_however_soon_it_crashes() {
    let request = [CauseKey::of_request(7)];
    let millis = |ms| Tick::default() + Duration::from_millis(ms);
    let mut seen = Vec::new();
    for (name, attempts) in [
        ("one after the other", [(0, 80), (81, 160), (165, 240)]),
        ("at once", [(0, 80), (10, 80), (20, 81)]),
    ] {
        let mut record = CrashRecord::default();
        for (number, (started, ended)) in attempts.into_iter().enumerate() {
            let crash = Crash {
                engine: format!("d{number}"),
                started: millis(started),
                ended: millis(ended),
            };
            record.record_crash(&request, &crash, millis(ended));
        }
        seen.push((name, record.count(request[0])));
    }
    assert_yaml_snapshot!(seen);
}

/// What a daemon handed over revived crashes that answers had cleared at the daemon before.
#[test]
fn crashes_from_before_an_answer_or_a_retention_ago_do_not_count() {
    let mut record = CrashRecord::default();
    record.record_answer(&[DEADLY], at(10));
    let counts = [5, 20, 21, 22].map(|second| {
        let crash = crash_of(&format!("d{second}"), at(second));
        record.record_crash(&[DEADLY], &crash, at(30));
        record.count(DEADLY)
    });
    let old = crash_of("d9", at(100));
    record.record_crash(&[FIRST], &old, at(100 + 150));
    assert_eq!((counts, record.count(FIRST)), ([0, 1, 2, 3], 0));
}

#[test]
fn a_probe_without_outcome_does_not_put_off_the_next_one() {
    let mut record = CrashRecord::default();
    crash(&mut record, &[DEADLY], 0..3, 0);
    let mut seen = Vec::new();
    for second in [30, 60, 90] {
        record.record_placement(&[DEADLY], at(second));
        record.record_unknown(&[DEADLY], at(second + 1));
        let left = record.refused().remaining(&[DEADLY], at(second + 1));
        seen.push(left.map(|left| left.as_secs()));
    }
    assert_eq!(seen, [Some(20); 3]);
}

/// Of two daemons that counted one after the other, each refuses what the other does, and neither goes on
/// to refuse what the other has cleared.
#[tokio::test(start_paused = true)]
async fn what_one_daemon_refuses_or_clears_holds_at_the_next() {
    let (first, next) = (Placer::start(), Placer::start());
    for number in 0..3 {
        first.crash_call(number).await;
        sleep(Duration::from_secs(1)).await;
    }
    let cause = CauseKey::of_request(7);
    let refused_at = |placer: &Placer| {
        let refusals = placer.handle.refusals();
        let pool = refusals.load().pools.get("models").cloned();
        pool.map(|pool| (pool.refused.len(), pool.cleared))
    };
    let decided = refused_at(&first);
    let handover = PlacerHandover {
        pool: "models".to_owned(),
        refused: vec![(cause, Duration::from_hours(20))],
        ..PlacerHandover::default()
    };
    next.handle
        .handle(PeerCall::AdoptPlacements(handover))
        .await;
    sleep(Duration::from_secs(1)).await;
    let adopted = refused_at(&next);
    let answered = CallEnd {
        pool: "models".to_owned(),
        endpoint: "d8".to_owned(),
        causes: vec![cause],
        run: RunEnd::Answered,
        ran_for: Duration::ZERO,
    };
    next.handle.end_call(answered).await;
    let cleared = refused_at(&next);
    let update = PoolUpdate {
        pool: "models".to_owned(),
        refused: Vec::new(),
        cleared: vec![cause],
    };
    first.handle.refuse(RefusalUpdate {
        pools: vec![update],
    });
    sleep(Duration::from_secs(1)).await;
    assert_yaml_snapshot!([decided, adopted, cleared, refused_at(&first)]);
}
