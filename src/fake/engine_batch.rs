use {
    super::{
        FaultKind,
        engine_core::EngineCore,
        engine_run::{End, Run, RunKey, Stage},
        engine_state::EngineState,
        link::wait_until,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Factor on the duration of a step that the fault `Slow` hits.
const SLOW_FACTOR: u32 = 10;

/// One step of continuous batching: a token for each of `decodes`, a chunk of one prompt, and its
/// duration.
struct Batch {
    decodes: Vec<RunKey>,
    prefill: Option<(RunKey, u32)>,
    time: Duration,
}

/// Delayed event that a step causes for one attempt.
enum Effect {
    /// Evicts the exported KV cache after the duration.
    Expire(RunKey, Duration),
    /// Ends the stall of the attempt after the duration.
    Stall(RunKey, Duration),
}

/// Runs steps until aborted; waits for a notification while there is no work.
pub(super) async fn run_batches(core: Arc<EngineCore>) {
    let mut due = Instant::now();
    loop {
        let next = plan(&mut core.lock());
        let kills_engine = next
            .as_ref()
            .is_some_and(|batch| is_fatal(&core.lock(), batch));
        match next {
            None => {
                core.work.notified().await;
                due = Instant::now();
            }
            Some(_) if kills_engine => core.die(),
            Some(batch) => {
                due += batch.time;
                wait_until(due).await;
                let effects = apply(&mut core.lock(), &batch);
                for effect in effects {
                    schedule(&core, effect);
                }
            }
        }
    }
}

/// Plans the next step for up to `slots` attempts by priority and arrival; `None` without work.
fn plan(state: &mut EngineState) -> Option<Batch> {
    let mut ready = state
        .runs
        .iter()
        .filter(|(_, run)| run.is_ready())
        .map(|(key, run)| (run.priority, run.order, key))
        .collect::<Vec<_>>();
    ready.sort_unstable();
    ready.truncate(state.settings.slots as usize);
    let keys = ready.into_iter().map(|(_, _, key)| key);
    let (decodes, prefills) = keys.partition::<Vec<_>, _>(|key| is_decoding(state, *key));
    if decodes.is_empty() && prefills.is_empty() {
        return None;
    }
    let chunk = |key: &RunKey| {
        let run = state.runs.get(*key)?;
        Some((*key, run.remaining.min(state.settings.chunk_tokens)))
    };
    let prefill = prefills.first().and_then(chunk);
    let mut time = step_time(state, decodes.len(), prefill);
    if state.faults.draw(FaultKind::Slow).is_some() {
        time *= SLOW_FACTOR;
    }
    Some(Batch {
        decodes,
        prefill,
        time,
    })
}

fn is_decoding(state: &EngineState, key: RunKey) -> bool {
    state
        .runs
        .get(key)
        .is_some_and(|run| run.stage == Stage::Decoding)
}

/// Returns the duration of a step from the cost model of the settings.
fn step_time(state: &EngineState, decodes: usize, prefill: Option<(RunKey, u32)>) -> Duration {
    let settings = &state.settings;
    let first = |key| {
        let run: Option<&Run> = state.runs.get(key);
        run.is_some_and(|run| run.observed.computed == 0)
    };
    let prefill_us = prefill.map_or(0, |(key, tokens)| {
        let fixed = if first(key) { settings.prefill_us } else { 0 };
        fixed + settings.token_us * u64::from(tokens)
    });
    settings.scaled_us(settings.step_us + settings.run_us * decodes as u64 + prefill_us)
}

/// Whether the step would kill the engine.
fn is_fatal(state: &EngineState, batch: &Batch) -> bool {
    let prefill = batch.prefill.map(|(key, _)| key);
    let mut keys = batch.decodes.iter().copied().chain(prefill);
    keys.any(|key| state.runs.get(key).is_some_and(Run::is_fatal))
}

/// Applies a completed step to the attempts that still take part in it.
fn apply(state: &mut EngineState, batch: &Batch) -> Vec<Effect> {
    let decode = |key: &RunKey| decode(state, *key);
    let mut effects = batch.decodes.iter().filter_map(decode).collect::<Vec<_>>();
    if let Some((key, tokens)) = batch.prefill {
        effects.extend(prefill(state, key, tokens));
    }
    effects
}

/// Generates one token of an attempt, and ends it at its limit.
fn decode(state: &mut EngineState, key: RunKey) -> Option<Effect> {
    let run = state.runs.get_mut(key)?;
    if run.stage != Stage::Decoding {
        return None;
    }
    run.observed.generated = run.limit.min(run.observed.generated + 1);
    if run.observed.generated == run.limit {
        let end = if run.capped { End::Length } else { End::Stop };
        state.end(key, end);
        return None;
    }
    run.progress.send_modify(|p| p.tokens += 1);
    let (after, time) = run.stall?;
    if run.observed.generated < after {
        return None;
    }
    run.stall = None;
    run.stalled = true;
    Some(Effect::Stall(key, time))
}

/// Computes a chunk of a prompt; when it was the last one, the attempt decodes or waits for export.
fn prefill(state: &mut EngineState, key: RunKey, tokens: u32) -> Option<Effect> {
    let run = state.runs.get_mut(key)?;
    if run.stage != Stage::Prefilling {
        return None;
    }
    run.remaining = run.remaining.saturating_sub(tokens);
    run.observed.computed += tokens;
    if run.remaining > 0 {
        return None;
    }
    let export = run.observed.prefill;
    run.stage = if export {
        Stage::Exported
    } else {
        Stage::Decoding
    };
    run.progress.send_modify(|p| p.ready = true);
    state.store(key);
    let expiry = state.settings.scaled_ms(state.settings.expiry_ms);
    export.then_some(Effect::Expire(key, expiry))
}

/// Runs an effect in a task of its own once its time has passed.
fn schedule(core: &Arc<EngineCore>, effect: Effect) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        match effect {
            Effect::Expire(key, time) => {
                sleep(time).await;
                core.expire(key);
            }
            Effect::Stall(key, time) => {
                sleep(time).await;
                core.end_stall(key);
            }
        }
    });
}
