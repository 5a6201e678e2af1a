//! A burst of streams at a pool whose prefill engines alone are too slow for it.

use {
    crate::ledger::{at, engine, placement_request},
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Endpoint, Role},
        decide::{Ledger, WaitBudget},
        port::{PlacementEnd, PlacementRequest, RunEnd},
    },
    serde::Serialize,
    std::time::Duration,
};

/// Prompt of a stream, which takes 110 ms of prefill, in tokens.
const PROMPT: u64 = 5_500;

/// Expected output of a stream, in tokens.
const OUTPUT: u64 = 1_400;

/// Time from the placement of a stream to its end.
const RUN_MS: u64 = 2_000;

/// Time between two attempts to place the streams that wait.
const STEP_MS: u64 = 10;

/// What callers of a burst got.
#[derive(Debug, Default, Serialize)]
struct Outcome {
    prefilled_remotely: u32,
    prefilled_locally: u32,
    /// Streams that got no placement within their budget.
    refused: u32,
    /// Streams whose prefill was planned to end after the target time.
    late: u32,
    longest_wait_ms: u64,
}

/// Plays streams that arrive each `every_ms` milliseconds for three seconds at three engines that
/// prefill and `decoders` that decode, each with memory for `memory` tokens.
fn play(every_ms: u64, decoders: usize, memory: u64) -> Outcome {
    let prefill = (0..3).map(|i| engine(&format!("p{i}"), Role::Prefill));
    let decode = (0..decoders).map(|i| engine(&format!("d{i}"), Role::Decode));
    let engines: Vec<_> = prefill
        .chain(decode)
        .map(|engine| Endpoint {
            slots: 64,
            ..engine
        })
        .collect();
    let mut ledger = Ledger::default();
    ledger.sync(engines.iter().map(|engine| (engine, true)), memory);
    let mut outcome = Outcome::default();
    let mut waiting = Vec::<(u64, PlacementRequest)>::new();
    let mut running = Vec::<(u64, u64, String)>::new();
    for now in (0..6_000).step_by(STEP_MS as usize) {
        if now < 3_000 && now % every_ms == 0 {
            waiting.push((now, placement_request(now, PROMPT, OUTPUT)));
        }
        running.retain(|(id, end, decode)| {
            if *end <= now {
                ledger.end(&ended(*id, decode), at(now));
            }
            *end > now
        });
        waiting.retain_mut(|(arrived, request)| {
            request.waited = Duration::from_millis(now - *arrived);
            let budget = WaitBudget::of(request.target);
            let Some(placed) = ledger.place(request, at(now)) else {
                let over = request.waited >= budget.placement;
                outcome.refused += u32::from(over);
                return !over;
            };
            let prefill_ms = match &placed.prefill {
                Some(_) => PROMPT / 50,
                None => PROMPT / 25,
            };
            let queue = placed.prefill.as_ref().and(placed.figures.queue_time);
            let first =
                request.waited + queue.unwrap_or_default() + Duration::from_millis(prefill_ms);
            match placed.prefill {
                Some(_) => outcome.prefilled_remotely += 1,
                None => outcome.prefilled_locally += 1,
            }
            outcome.late += u32::from(first > request.target);
            outcome.longest_wait_ms = outcome.longest_wait_ms.max(now - *arrived);
            running.push((request.id, now + RUN_MS, placed.decode));
            false
        });
    }
    outcome
}

/// Returns the end of placement `id` at the engine `decode`.
fn ended(id: u64, decode: &str) -> PlacementEnd {
    PlacementEnd {
        id,
        pool: "models".to_owned(),
        engine: decode.to_owned(),
        causes: Vec::new(),
        run: RunEnd::Answered,
        ran_for: Duration::ZERO,
        complete: false,
        generated_tokens: 0,
        decode_time: Duration::ZERO,
        prefill_time: Duration::ZERO,
    }
}

#[test]
fn engines_with_memory_to_spare_prefill_what_the_prefill_engines_cannot() {
    // The prefill engines finish 27 prompts a second.
    let cases = [
        ("20 a second, memory to spare", play(50, 9, 200_000)),
        ("50 a second, memory to spare", play(20, 9, 200_000)),
        ("50 a second, memory in use", play(20, 9, 60_000)),
    ];
    assert_yaml_snapshot!(cases);
}
