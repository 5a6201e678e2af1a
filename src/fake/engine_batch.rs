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

/// Factor of a step that the fault `Slow` hits.
const SLOW_FACTOR: u32 = 10;

/// Work of one step of continuous batching.
struct Batch {
    decodes: Vec<RunKey>,
    prefill: Option<(RunKey, u32)>,
    time: Duration,
}

/// What follows from a step for one attempt.
enum Effect {
    Expire(RunKey, Duration),
    Stall(RunKey, Duration),
}

/// Runs steps for ever; sleeps while there is no work.
pub(super) async fn run_batches(core: Arc<EngineCore>) {
    let mut due = Instant::now();
    loop {
        let next = plan(&mut core.lock());
        let fatal = next
            .as_ref()
            .is_some_and(|batch| is_fatal(&core.lock(), batch));
        match next {
            None => {
                core.work.notified().await;
                due = Instant::now();
            }
            Some(_) if fatal => core.die(),
            Some(batch) => {
                due += batch.time;
                wait_until(due).await;
                let effects = apply(&mut core.lock(), &batch);
                for effect in effects {
                    follow(&core, effect);
                }
            }
        }
    }
}

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
        Some((*key, run.todo.min(state.settings.chunk_tokens)))
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

fn step_time(state: &EngineState, decodes: usize, prefill: Option<(RunKey, u32)>) -> Duration {
    let settings = &state.settings;
    let first = |key| {
        let run: Option<&Run> = state.runs.get(key);
        run.is_some_and(|run| run.seen.computed == 0)
    };
    let prefill_us = prefill.map_or(0, |(key, tokens)| {
        let fixed = if first(key) { settings.prefill_us } else { 0 };
        fixed + settings.token_us * u64::from(tokens)
    });
    settings.scaled_us(settings.step_us + settings.run_us * decodes as u64 + prefill_us)
}

fn is_fatal(state: &EngineState, batch: &Batch) -> bool {
    let prefill = batch.prefill.map(|(key, _)| key);
    let mut keys = batch.decodes.iter().copied().chain(prefill);
    keys.any(|key| state.runs.get(key).is_some_and(Run::is_fatal))
}

fn apply(state: &mut EngineState, batch: &Batch) -> Vec<Effect> {
    let decode = |key: &RunKey| decode(state, *key);
    let mut effects = batch.decodes.iter().filter_map(decode).collect::<Vec<_>>();
    if let Some((key, tokens)) = batch.prefill {
        effects.extend(prefill(state, key, tokens));
    }
    effects
}

fn decode(state: &mut EngineState, key: RunKey) -> Option<Effect> {
    let run = state.runs.get_mut(key)?;
    if run.stage != Stage::Decoding {
        return None;
    }
    run.seen.generated = run.limit.min(run.seen.generated + 1);
    if run.seen.generated == run.limit {
        let end = if run.capped { End::Length } else { End::Stop };
        state.end(key, end);
        return None;
    }
    run.progress.send_modify(|p| p.tokens += 1);
    let (after, time) = run.stall?;
    if run.seen.generated < after {
        return None;
    }
    run.stall = None;
    run.stalled = true;
    Some(Effect::Stall(key, time))
}

fn prefill(state: &mut EngineState, key: RunKey, tokens: u32) -> Option<Effect> {
    let run = state.runs.get_mut(key)?;
    if run.stage != Stage::Prefilling {
        return None;
    }
    run.todo = run.todo.saturating_sub(tokens);
    run.seen.computed += tokens;
    if run.todo > 0 {
        return None;
    }
    let export = run.seen.prefill;
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

/// Lets an effect take place after its time.
fn follow(core: &Arc<EngineCore>, effect: Effect) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        match effect {
            Effect::Expire(key, time) => {
                sleep(time).await;
                core.expire(key);
            }
            Effect::Stall(key, time) => {
                sleep(time).await;
                core.go_on(key);
            }
        }
    });
}
