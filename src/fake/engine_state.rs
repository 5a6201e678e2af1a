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

/// Ended attempts that `observed` lists.
const RUNS_MAX: usize = 200_000;

/// Time for which a cancel that came before its attempt is remembered.
const CANCEL_MEMORY: Duration = Duration::from_secs(10);

/// State of an engine's stand-in; a death empties it.
#[derive(Debug)]
pub(super) struct EngineState {
    pub settings: EngineSettings,
    pub faults: FaultPlan,
    pub runs: SlotMap<RunKey, Run>,
    pub cache: PrefixCache,
    names: HashMap<String, RunKey>,
    ended: VecDeque<(Instant, RunKey)>,
    cancelled: VecDeque<(Instant, String)>,
    description: Description,
    used: u32,
    leaving: bool,
    arrivals: u64,
    start: Instant,
    report: Option<(Instant, LoadReport)>,
    totals: EngineTotals,
    past: VecDeque<RunObserved>,
}

impl EngineState {
    pub(super) fn new(settings: EngineSettings) -> Self {
        Self {
            faults: FaultPlan::new(settings.faults.clone(), settings.seed),
            runs: SlotMap::with_key(),
            cache: PrefixCache::new(settings.cache_blocks),
            names: HashMap::new(),
            ended: VecDeque::new(),
            cancelled: VecDeque::new(),
            description: describe(&settings),
            used: 0,
            leaving: false,
            arrivals: 0,
            start: Instant::now(),
            report: None,
            totals: EngineTotals::default(),
            past: VecDeque::new(),
            settings,
        }
    }

    /// Admits an attempt and takes its memory, or gives the reason of the refusal.
    pub(super) fn admit(&mut self, request: &CompletionRequest) -> Result<RunKey, &'static str> {
        self.forget();
        if let Some(reason) = self.refusal(request) {
            self.totals.refused += 1;
            return Err(reason);
        }
        let mut run = Run::new(request, &self.settings, &mut self.faults);
        let (free, needed) = (self.description.pieces - self.used, run.seen.pieces);
        if needed > free {
            self.totals.refused += 1;
            return Err("memory-full");
        }
        self.used += needed;
        self.totals.runs += 1;
        self.arrivals += 1;
        run.order = self.arrivals;
        run.seen.start_ms = self.clock_ms();
        self.look_up(&mut run);
        let key = self.runs.insert(run);
        self.names.insert(request.attempt.clone(), key);
        Ok(key)
    }

    fn refusal(&mut self, request: &CompletionRequest) -> Option<&'static str> {
        let adapter = request.adapter.as_ref();
        let loaded = adapter.is_none_or(|name| self.description.adapters.contains(name));
        let prefills = self.settings.role == crate::board::Role::Prefill;
        let cases = [
            (
                self.cancelled.iter().any(|(_, id)| *id == request.attempt),
                "cancelled",
            ),
            (self.names.contains_key(&request.attempt), "known-attempt"),
            (self.leaving, "leaving"),
            (prefills == request.stream, "wrong-role"),
            (
                !self.description.models.contains_key(&request.model),
                "wrong-model",
            ),
            (!loaded, "wrong-adapter"),
            (self.faults.draw(FaultKind::Refuse).is_some(), "fault"),
        ];
        let found = cases.into_iter().find(|(refused, _)| *refused);
        found.map(|(_, reason)| reason)
    }

    /// Finds the cached part of a prompt; its last token is always computed.
    fn look_up(&self, run: &mut Run) {
        if run.stage != Stage::Prefilling {
            return;
        }
        let hits = self.cache.hits(&run.prefixes) as u32;
        run.seen.cached = (hits * BLOCK_TOKENS).min(run.seen.prompt.saturating_sub(1));
        run.todo = run.seen.prompt - run.seen.cached;
    }

    /// Stores the prompt of an attempt in the prefix cache.
    pub(super) fn store(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (faults, gaps) = (&mut self.faults, self.settings.event_gaps);
        let lose = || faults.happens(gaps);
        self.cache.store(&run.prefixes, Instant::now(), lose);
    }

    /// Ends an attempt and frees its memory; repeating it is harmless.
    pub(super) fn end(&mut self, key: RunKey, end: End) {
        let now = self.clock_ms();
        let Some(run) = self
            .runs
            .get_mut(key)
            .filter(|run| run.stage != Stage::Ended)
        else {
            return;
        };
        run.stage = Stage::Ended;
        run.seen.end = Some(end.word().to_owned());
        run.seen.end_ms = Some(now);
        let tokens = run.seen.generated;
        run.progress.send_modify(|p| {
            p.tokens = tokens;
            p.end = Some(end);
        });
        self.used -= run.seen.pieces;
        self.totals.wasted += u64::from(run.wasted());
        self.totals.computed += u64::from(run.seen.computed);
        self.totals.generated += u64::from(run.seen.generated);
        self.ended.push_back((Instant::now(), key));
        if self.past.len() == RUNS_MAX {
            self.past.pop_front();
        }
        self.past.push_back(run.seen.clone());
    }

    /// Cancels an attempt, or remembers the cancel until the attempt arrives.
    pub(super) fn cancel(&mut self, attempt: &str) {
        self.totals.cancels += 1;
        match self.names.get(attempt) {
            Some(key) => self.end(*key, End::Cancelled),
            None => self
                .cancelled
                .push_back((Instant::now(), attempt.to_owned())),
        }
    }

    /// Loses everything and starts a new incarnation.
    pub(super) fn die(&mut self) {
        for key in self.runs.keys().collect::<Vec<_>>() {
            self.end(key, End::Died);
        }
        self.totals.deaths += 1;
        self.runs.clear();
        self.names.clear();
        self.ended.clear();
        self.cancelled.clear();
        self.report = None;
        self.cache = PrefixCache::new(self.settings.cache_blocks);
        let incarnation = unix_ms().max(self.description.incarnation + 1);
        self.description = describe(&self.settings);
        self.description.incarnation = incarnation;
    }

    /// Forgets attempts that can no longer be resumed, and old cancels.
    fn forget(&mut self) {
        let keep = self.settings.scaled_ms(self.settings.resume_ms);
        while self
            .ended
            .front()
            .is_some_and(|(at, _)| at.elapsed() > keep)
        {
            let gone = self
                .ended
                .pop_front()
                .and_then(|(_, key)| self.runs.remove(key));
            gone.and_then(|run| self.names.remove(&run.seen.attempt));
        }
        while self
            .cancelled
            .front()
            .is_some_and(|(at, _)| at.elapsed() > CANCEL_MEMORY)
        {
            self.cancelled.pop_front();
        }
    }

    /// Follows a decoding attempt; `None` if it is not known.
    pub(super) fn follow(&mut self, attempt: &str) -> Option<(RunKey, watch::Receiver<Progress>)> {
        self.forget();
        let key = *self.names.get(attempt)?;
        let run = self.runs.get(key).filter(|run| !run.seen.prefill)?;
        Some((key, run.progress.subscribe()))
    }

    /// The KV cache that `handle` names, while it waits for export.
    pub(super) fn exported(&self, handle: &str) -> Option<RunKey> {
        let key = *self.names.get(handle)?;
        let run = self.runs.get(key)?;
        (run.stage == Stage::Exported).then_some(key)
    }

    /// Takes an order, or gives the reason of the refusal.
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

    pub(super) fn events(&self, after: u64) -> CacheEvents {
        let delay = self.settings.scaled_ms(self.settings.event_ms);
        self.cache.read(after, delay)
    }

    /// The load as it was at the last report.
    pub(super) fn load(&self) -> LoadReport {
        let (age, report) = match &self.report {
            Some((at, report)) if self.settings.load_ms > 0 => (at.elapsed(), report.clone()),
            _ => (Duration::ZERO, self.present()),
        };
        LoadReport {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            leaving: self.leaving,
            ..report
        }
    }

    /// Publishes the present load.
    pub(super) fn publish(&mut self) {
        self.report = Some((Instant::now(), self.present()));
    }

    fn present(&self) -> LoadReport {
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

    fn held(&self) -> Vec<String> {
        let holds = |run: &&Run| run.stage != Stage::Ended;
        let mut held = self
            .runs
            .values()
            .filter(holds)
            .map(|run| run.seen.attempt.clone())
            .collect::<Vec<_>>();
        held.sort();
        held
    }

    pub(super) fn observed(&self) -> EngineObserved {
        let live = self.runs.values().filter(|run| run.stage != Stage::Ended);
        let live = live.map(|run| run.seen.clone()).collect::<Vec<_>>();
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
            runs: self.past.iter().cloned().chain(live).collect(),
        }
    }

    pub(super) fn count_sent(&mut self, tokens: u32) {
        self.totals.sent += u64::from(tokens);
    }

    /// Changes faults and the leaving state; a death is the caller's to cause.
    pub(super) fn control(&mut self, control: &EngineControl) {
        if control.clear {
            self.faults.clear();
        }
        for fault in &control.faults {
            self.faults.add(fault.clone());
        }
        self.leaving = control.leaving.unwrap_or(self.leaving);
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

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
