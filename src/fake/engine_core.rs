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

/// Shortest time for which the listener stays closed after a death, so that clients notice it.
const MIN_DOWN_TIME: Duration = Duration::from_millis(20);

/// State that the tasks of one fake engine share.
#[derive(Debug)]
pub(super) struct EngineCore {
    /// Address of the listener.
    pub address: String,
    /// Wakes the batch loop when there is work.
    pub work: Notify,
    /// Whether the listener is closed.
    pub down: watch::Sender<bool>,
    /// Link for KV caches sent to other engines.
    pub egress: Link,
    /// Link for KV caches received from other engines.
    pub ingress: Link,
    /// HTTP client that fetches KV caches from other engines.
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

    /// Changes the faults and the draining state, or dies.
    pub(super) fn control(self: &Arc<Self>, control: &EngineControl) {
        self.lock().control(control);
        if control.die {
            self.die();
        }
    }

    /// Drops all state and closes the listener; opens it again after `down_ms`.
    pub(super) fn die(self: &Arc<Self>) {
        let down = {
            let mut state = self.lock();
            state.die();
            state.settings.scaled_ms(state.settings.down_ms)
        };
        self.down.send_replace(true);
        let core = Arc::clone(self);
        tokio::spawn(async move {
            sleep(down.max(MIN_DOWN_TIME)).await;
            core.down.send_replace(false);
        });
    }

    /// Ends the stall of an attempt, so that it generates tokens again.
    pub(super) fn end_stall(&self, key: RunKey) {
        if let Some(run) = self.lock().runs.get_mut(key) {
            run.stalled = false;
        }
        self.work.notify_one();
    }

    /// Subscribes to the progress of an attempt; `None` if it is not known.
    pub(super) fn subscribe(&self, key: RunKey) -> Option<watch::Receiver<Progress>> {
        let state = self.lock();
        Some(state.runs.get(key)?.progress.subscribe())
    }

    /// Marks the import of an attempt as started, so that its response may begin.
    pub(super) fn import_started(&self, key: RunKey) {
        if let Some(run) = self.lock().runs.get_mut(key) {
            run.progress.send_modify(|p| p.ready = true);
        }
    }

    /// Lets an attempt decode after a complete import; otherwise ends it as `CacheGone`.
    pub(super) fn import_ended(&self, key: RunKey, complete: bool) {
        let mut state = self.lock();
        if !complete {
            state.end(key, End::CacheGone);
            return;
        }
        state.store(key);
        let importing = |run: &&mut Run| run.stage == Stage::Importing;
        if let Some(run) = state.runs.get_mut(key).filter(importing) {
            run.stage = Stage::Decoding;
            run.observed.imported = run.import_tokens;
        }
        drop(state);
        self.work.notify_one();
    }

    /// Marks an exported KV cache as expired, and evicts it unless a transfer still reads it.
    pub(super) fn expire(&self, key: RunKey) {
        let mut state = self.lock();
        if let Some(run) = state.runs.get_mut(key) {
            run.expired = true;
        }
        evict(&mut state, key);
    }

    /// Protects an exported KV cache from eviction during a transfer; returns its key and tokens.
    ///
    /// `None` if no KV cache of this handle waits for export.
    pub(super) fn pin(&self, handle: &str) -> Option<(RunKey, u32)> {
        let mut state = self.lock();
        let key = state.exported(handle)?;
        let run = state.runs.get_mut(key)?;
        run.pins += 1;
        Some((key, run.observed.prompt))
    }

    /// Ends a transfer; the KV cache is freed if it was sent completely or has expired.
    pub(super) fn unpin(&self, key: RunKey, complete: bool) {
        let mut state = self.lock();
        if let Some(run) = state.runs.get_mut(key) {
            run.pins = run.pins.saturating_sub(1);
        }
        if complete {
            state.end(key, End::Exported);
        }
        evict(&mut state, key);
    }
}

/// Evicts an exported KV cache that has expired and that no transfer reads.
fn evict(state: &mut EngineState, key: RunKey) {
    let is_due = |run: &Run| run.stage == Stage::Exported && run.expired && run.pins == 0;
    if state.runs.get(key).is_some_and(is_due) {
        state.end(key, End::Evicted);
    }
}
