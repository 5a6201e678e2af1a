use {
    super::{
        EngineControl, EngineObserved, EngineSettings, EngineTotals, FaultKind, RunObserved,
        engine_run::{End, Progress, Run, RunKey, Stage},
        fault::FaultPlan,
        prefix_cache::PrefixCache,
    },
    crate::{
        border::endpoint_wire::CompletionRequest,
        decide::BLOCK_TOKENS,
        port::{CacheEvents, Description, LoadReport, Order},
    },
    slotmap::SlotMap,
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{sync::watch, time::Instant},
};

/// Number of ended attempts that are kept for the observed call.
const MAX_ENDED_RUNS: usize = 200_000;

/// Time for which a cancel call that arrives before its attempt is kept.
const CANCEL_RETENTION: Duration = Duration::from_secs(10);

/// State of a fake engine; a death clears all but the settings, the faults and the records.
#[derive(Debug)]
pub(super) struct EngineState {
    pub settings: EngineSettings,
    pub faults: FaultPlan,
    pub runs: SlotMap<RunKey, Run>,
    pub cache: PrefixCache,
    by_attempt: HashMap<String, RunKey>,
    /// Ended attempts that are kept so that they can be resumed, with the time of their end.
    ended: VecDeque<(Instant, RunKey)>,
    /// Identities of attempts that were cancelled before they arrived, with the time of the cancel.
    cancelled: VecDeque<(Instant, String)>,
    description: Description,
    /// Memory in use, in pieces.
    used: u32,
    leaving: bool,
    arrivals: u64,
    start: Instant,
    /// Last published load report, with the time of its publication.
    report: Option<(Instant, LoadReport)>,
    totals: EngineTotals,
    /// Records of the last `MAX_ENDED_RUNS` ended attempts.
    history: VecDeque<RunObserved>,
}

impl EngineState {
    pub(super) fn new(settings: EngineSettings) -> Self {
        Self {
            faults: FaultPlan::new(settings.faults.clone(), settings.seed),
            runs: SlotMap::with_key(),
            cache: PrefixCache::new(settings.cache_blocks),
            by_attempt: HashMap::new(),
            ended: VecDeque::new(),
            cancelled: VecDeque::new(),
            description: describe(&settings),
            used: 0,
            leaving: false,
            arrivals: 0,
            start: Instant::now(),
            report: None,
            totals: EngineTotals::default(),
            history: VecDeque::new(),
            settings,
        }
    }

    /// Admits an attempt and allocates its memory.
    ///
    /// Fails with the reason if the attempt is refused.
    pub(super) fn admit(&mut self, request: &CompletionRequest) -> Result<RunKey, &'static str> {
        self.remove_expired();
        if let Some(reason) = self.refusal(request) {
            self.totals.refused += 1;
            return Err(reason);
        }
        let mut run = Run::new(request, &self.settings, &mut self.faults);
        let (free, needed) = (self.description.pieces - self.used, run.observed.pieces);
        if needed > free {
            self.totals.refused += 1;
            return Err("memory-full");
        }
        self.used += needed;
        self.totals.runs += 1;
        self.arrivals += 1;
        run.order = self.arrivals;
        run.observed.start_ms = self.uptime_ms();
        self.look_up_prefix(&mut run);
        let key = self.runs.insert(run);
        self.by_attempt.insert(request.attempt.clone(), key);
        Ok(key)
    }

    /// Returns the reason to refuse an attempt; `None` if only a lack of memory can refuse it.
    fn refusal(&mut self, request: &CompletionRequest) -> Option<&'static str> {
        let adapter = request.adapter.as_ref();
        let has_adapter = adapter.is_none_or(|name| self.description.adapters.contains(name));
        let is_prefill = self.settings.role == crate::board::Role::Prefill;
        let cases = [
            (
                self.cancelled.iter().any(|(_, id)| *id == request.attempt),
                "cancelled",
            ),
            (
                self.by_attempt.contains_key(&request.attempt),
                "known-attempt",
            ),
            (self.leaving, "leaving"),
            (is_prefill == request.stream, "wrong-role"),
            (
                !self.description.models.contains_key(&request.model),
                "wrong-model",
            ),
            (!has_adapter, "wrong-adapter"),
            (self.faults.draw(FaultKind::Refuse).is_some(), "fault"),
        ];
        let found = cases.into_iter().find(|(refused, _)| *refused);
        found.map(|(_, reason)| reason)
    }

    /// Looks up the cached part of a prompt. The last token is always computed, as the first
    /// generated token depends on it.
    fn look_up_prefix(&self, run: &mut Run) {
        if run.stage != Stage::Prefilling {
            return;
        }
        let hits = self.cache.hits(&run.prefixes) as u32;
        run.observed.cached = (hits * BLOCK_TOKENS).min(run.observed.prompt.saturating_sub(1));
        run.remaining = run.observed.prompt - run.observed.cached;
    }

    /// Stores the prompt of an attempt in the prefix cache.
    pub(super) fn store(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (faults, gaps) = (&mut self.faults, self.settings.event_gaps);
        let is_lost = || faults.happens(gaps);
        self.cache.store(&run.prefixes, Instant::now(), is_lost);
    }

    /// Ends an attempt and frees its memory; does nothing if it has already ended.
    pub(super) fn end(&mut self, key: RunKey, end: End) {
        let now = self.uptime_ms();
        let Some(run) = self
            .runs
            .get_mut(key)
            .filter(|run| run.stage != Stage::Ended)
        else {
            return;
        };
        run.stage = Stage::Ended;
        run.observed.end = Some(end.as_str().to_owned());
        run.observed.end_ms = Some(now);
        let tokens = run.observed.generated;
        run.progress.send_modify(|p| {
            p.tokens = tokens;
            p.end = Some(end);
        });
        self.used -= run.observed.pieces;
        self.totals.wasted += u64::from(run.wasted());
        self.totals.computed += u64::from(run.observed.computed);
        self.totals.generated += u64::from(run.observed.generated);
        self.ended.push_back((Instant::now(), key));
        if self.history.len() == MAX_ENDED_RUNS {
            self.history.pop_front();
        }
        self.history.push_back(run.observed.clone());
    }

    /// Cancels an attempt; if it is not known, the cancel is kept in case it arrives later.
    pub(super) fn cancel(&mut self, attempt: &str) {
        self.totals.cancels += 1;
        match self.by_attempt.get(attempt) {
            Some(key) => self.end(*key, End::Cancelled),
            None => self
                .cancelled
                .push_back((Instant::now(), attempt.to_owned())),
        }
    }

    /// Ends all attempts, drops the caches and starts a new incarnation.
    pub(super) fn die(&mut self) {
        for key in self.runs.keys().collect::<Vec<_>>() {
            self.end(key, End::Died);
        }
        self.totals.deaths += 1;
        self.runs.clear();
        self.by_attempt.clear();
        self.ended.clear();
        self.cancelled.clear();
        self.report = None;
        self.cache = PrefixCache::new(self.settings.cache_blocks);
        let incarnation = unix_ms().max(self.description.incarnation + 1);
        self.description = describe(&self.settings);
        self.description.incarnation = incarnation;
    }

    /// Removes ended attempts that can no longer be resumed, and old cancels.
    fn remove_expired(&mut self) {
        let retention = self.settings.scaled_ms(self.settings.resume_ms);
        while self
            .ended
            .front()
            .is_some_and(|(at, _)| at.elapsed() > retention)
        {
            let removed = self
                .ended
                .pop_front()
                .and_then(|(_, key)| self.runs.remove(key));
            removed.and_then(|run| self.by_attempt.remove(&run.observed.attempt));
        }
        while self
            .cancelled
            .front()
            .is_some_and(|(at, _)| at.elapsed() > CANCEL_RETENTION)
        {
            self.cancelled.pop_front();
        }
    }

    /// Subscribes to the progress of a decode; `None` if it is not known.
    pub(super) fn subscribe(
        &mut self,
        attempt: &str,
    ) -> Option<(RunKey, watch::Receiver<Progress>)> {
        self.remove_expired();
        let key = *self.by_attempt.get(attempt)?;
        let run = self.runs.get(key).filter(|run| !run.observed.prefill)?;
        Some((key, run.progress.subscribe()))
    }

    /// Returns the attempt whose KV cache `handle` names; `None` unless it waits for export.
    pub(super) fn exported(&self, handle: &str) -> Option<RunKey> {
        let key = *self.by_attempt.get(handle)?;
        let run = self.runs.get(key)?;
        (run.stage == Stage::Exported).then_some(key)
    }

    /// Applies an order: the role, models and adapters to serve.
    ///
    /// Fails with the reason if the engine is fenced and the fencing number is below the last one.
    pub(super) fn order(&mut self, order: Order) -> Result<Description, &'static str> {
        if self.settings.fenced && order.fence < self.description.fence {
            return Err("old-fence");
        }
        self.description.fence = order.fence.max(self.description.fence);
        self.description.role = order.role;
        self.settings.role = order.role;
        self.description.models = order.models;
        self.description.adapters = order.adapters;
        Ok(self.description.clone())
    }

    pub(super) fn description(&self) -> Description {
        self.description.clone()
    }

    /// Returns the published cache events after the sequence number `after`.
    pub(super) fn events(&self, after: u64) -> CacheEvents {
        let delay = self.settings.scaled_ms(self.settings.event_ms);
        self.cache.read(after, delay)
    }

    /// Returns the load at the last report, or the current load if reports are off.
    pub(super) fn load(&self) -> LoadReport {
        let (age, report) = match &self.report {
            Some((at, report)) if self.settings.load_ms > 0 => (at.elapsed(), report.clone()),
            _ => (Duration::ZERO, self.current_load()),
        };
        LoadReport {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            leaving: self.leaving,
            ..report
        }
    }

    /// Publishes the current load as the last report.
    pub(super) fn publish(&mut self) {
        self.report = Some((Instant::now(), self.current_load()));
    }

    fn current_load(&self) -> LoadReport {
        let ready = self.runs.values().filter(|run| run.is_ready()).count() as u32;
        LoadReport {
            incarnation: self.description.incarnation,
            used: self.used,
            running: ready.min(self.settings.slots),
            waiting: ready.saturating_sub(self.settings.slots),
            age_ms: 0,
            leaving: self.leaving,
            held: self.held(),
        }
    }

    /// Returns the identities of the attempts that hold memory, sorted.
    fn held(&self) -> Vec<String> {
        let holds = |run: &&Run| run.stage != Stage::Ended;
        let mut held = self
            .runs
            .values()
            .filter(holds)
            .map(|run| run.observed.attempt.clone())
            .collect::<Vec<_>>();
        held.sort();
        held
    }

    /// Returns the record of attempts, including those that still run.
    pub(super) fn observed(&self) -> EngineObserved {
        let live = self.runs.values().filter(|run| run.stage != Stage::Ended);
        let live = live.map(|run| run.observed.clone()).collect::<Vec<_>>();
        let mut totals = self.totals;
        for run in &live {
            totals.computed += u64::from(run.computed);
            totals.generated += u64::from(run.generated);
        }
        EngineObserved {
            incarnation: self.description.incarnation,
            used: self.used,
            held: self.held(),
            totals,
            runs: self.history.iter().cloned().chain(live).collect(),
        }
    }

    /// Counts tokens that a stream has sent.
    pub(super) fn count_sent(&mut self, tokens: u32) {
        self.totals.sent += u64::from(tokens);
    }

    /// Changes the faults and the draining state; `EngineCore` handles `die`.
    pub(super) fn control(&mut self, control: &EngineControl) {
        if control.clear {
            self.faults.clear();
        }
        for fault in &control.faults {
            self.faults.add(fault.clone());
        }
        self.leaving = control.leaving.unwrap_or(self.leaving);
    }

    /// Returns the milliseconds since the start of the fake engine.
    fn uptime_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns the description of a new incarnation that has not received an order yet.
fn describe(settings: &EngineSettings) -> Description {
    Description {
        role: settings.role,
        models: settings.models.clone(),
        adapters: settings.adapters.clone(),
        pieces: settings.pieces,
        piece_tokens: settings.piece_tokens,
        slots: settings.slots,
        fenced: settings.fenced,
        fence: 0,
        incarnation: unix_ms(),
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
