use {
    super::{
        EngineControl, EngineSettings,
        engine_run::{End, Progress, Run, RunKey, Stage},
        engine_state::EngineState,
        link::Link,
    },
    reqwest::Client,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time::sleep,
    },
};

/// Shortest time for which a dead stand-in keeps its listener closed.
const DOWN_MIN: Duration = Duration::from_millis(20);

/// What the tasks of one engine's stand-in share.
#[derive(Debug)]
pub(super) struct EngineCore {
    /// Address of the listener.
    pub address: String,
    /// Wakes the batch loop.
    pub work: Notify,
    /// Whether the listener is closed.
    pub down: watch::Sender<bool>,
    /// Link from the engine.
    pub egress: Link,
    /// Link to the engine.
    pub ingress: Link,
    /// Client for imports.
    pub client: Client,
    state: Mutex<EngineState>,
}

impl EngineCore {
    pub(super) fn new(settings: EngineSettings, address: String, client: Client) -> Self {
        let rate = u64::from(settings.link_tokens.max(1));
        let token_time = settings.scaled_us(1_000) / u32::try_from(rate).unwrap_or(u32::MAX);
        Self {
            address,
            work: Notify::new(),
            down: watch::Sender::new(false),
            egress: Link::new(token_time),
            ingress: Link::new(token_time),
            client,
            state: Mutex::new(EngineState::new(settings)),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes faults and the leaving state, or dies.
    pub(super) fn control(self: &Arc<Self>, control: &EngineControl) {
        self.lock().control(control);
        if control.die {
            self.die();
        }
    }

    /// Loses all state, closes the listener and opens it again later.
    pub(super) fn die(self: &Arc<Self>) {
        let down = {
            let mut state = self.lock();
            state.die();
            state.settings.scaled_ms(state.settings.down_ms)
        };
        self.down.send_replace(true);
        let core = Arc::clone(self);
        tokio::spawn(async move {
            sleep(down.max(DOWN_MIN)).await;
            core.down.send_replace(false);
        });
    }

    /// Ends the stall of an attempt.
    pub(super) fn go_on(&self, key: RunKey) {
        if let Some(run) = self.lock().runs.get_mut(key) {
            run.stalled = false;
        }
        self.work.notify_one();
    }

    /// Follows an attempt.
    pub(super) fn subscribe(&self, key: RunKey) -> Option<watch::Receiver<Progress>> {
        let state = self.lock();
        Some(state.runs.get(key)?.progress.subscribe())
    }

    /// Marks an import as begun, so that the answer may start.
    pub(super) fn import_begun(&self, key: RunKey) {
        if let Some(run) = self.lock().runs.get_mut(key) {
            run.progress.send_modify(|p| p.ready = true);
        }
    }

    /// Lets an attempt decode after its import, or ends it.
    pub(super) fn import_ended(&self, key: RunKey, whole: bool) {
        let mut state = self.lock();
        if !whole {
            state.end(key, End::CacheGone);
            return;
        }
        state.store(key);
        let importing = |run: &&mut Run| run.stage == Stage::Importing;
        if let Some(run) = state.runs.get_mut(key).filter(importing) {
            run.stage = Stage::Decoding;
            run.seen.imported = run.import;
        }
        drop(state);
        self.work.notify_one();
    }

    /// Evicts an exported KV cache when its time is over, unless it is being read.
    pub(super) fn expire(&self, key: RunKey) {
        let mut state = self.lock();
        if let Some(run) = state.runs.get_mut(key) {
            run.expired = true;
        }
        evict(&mut state, key);
    }

    /// Keeps an exported KV cache while it is read; returns its tokens.
    pub(super) fn pin(&self, handle: &str) -> Option<(RunKey, u32)> {
        let mut state = self.lock();
        let key = state.exported(handle)?;
        let run = state.runs.get_mut(key)?;
        run.pins += 1;
        Some((key, run.seen.prompt))
    }

    /// Ends a read; the KV cache is freed if it was read whole or is over its time.
    pub(super) fn unpin(&self, key: RunKey, whole: bool) {
        let mut state = self.lock();
        if let Some(run) = state.runs.get_mut(key) {
            run.pins = run.pins.saturating_sub(1);
        }
        if whole {
            state.end(key, End::Exported);
        }
        evict(&mut state, key);
    }
}

fn evict(state: &mut EngineState, key: RunKey) {
    let over = |run: &Run| run.stage == Stage::Exported && run.expired && run.pins == 0;
    if state.runs.get(key).is_some_and(over) {
        state.end(key, End::Evicted);
    }
}
