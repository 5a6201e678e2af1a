use {
    super::{EnginePlan, OutputLengths, OutputRates, PrefillRate, RunPlan, WaitBudget},
    crate::{
        board::{Endpoint, Role, Tick},
        port::{ActivePlacement, PlacementEnd, PlacementRequest},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Share of an engine's memory that may be planned for.
const MEMORY_RATIO: f64 = 0.95;

/// Decode rate of one generation in tokens per millisecond, assumed before the first sample.
const INITIAL_DECODE_TOKENS_PER_MS: f64 = 1.4;

/// Weight of the newest sample in the decode rate.
const SAMPLE_RATIO: f64 = 0.1;

/// Share of a decode engine's memory that may be planned for if prompts are prefilled locally to
/// avoid a queue. A local prefill delays the generations beside it, which then hold their memory for
/// longer than planned.
const MAX_LOCAL_PREFILL_PEAK: f64 = 0.7;

/// Time of a local prefill as a multiple of that on a prefill engine.
const LOCAL_PREFILL_TIME_RATIO: f64 = 2.0;

/// Time after the expected end of a placement at which it expires if no end was reported.
const EXPIRY_GRACE: Duration = Duration::from_secs(4);

/// Planned load of the engines of one pool, held by the one daemon that places its requests.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    engines: BTreeMap<String, EnginePlan>,
    /// Placed requests by id.
    runs: HashMap<u64, PlacedRequest>,
    prefill_rate: PrefillRate,
    /// Estimated decode rate of one generation in tokens per millisecond; none before the first
    /// sample.
    decode_rate: Option<f64>,
    lengths: OutputLengths,
    /// Engines whose limit allows few more requests now.
    scarce: BTreeSet<String>,
    /// Moving average of the lengths of the prompts, in tokens.
    usual_prompt: f64,
}

/// Engines that hold a placed request.
#[derive(Clone, Debug)]
struct PlacedRequest {
    decode: String,
    prefill: Option<String>,
    /// Tokens queued at the prefill engine before the prompt when it was placed; none if that is not
    /// known, or there is no such engine.
    tokens_ahead: Option<f64>,
    /// Hash of the name of the organisation that it belongs to, if one is known.
    organisation: Option<u64>,
}

/// A prefill engine that may take a prompt.
#[derive(Clone, Debug)]
struct PrefillOption {
    name: String,
    /// Tokens queued before the prompt.
    tokens_ahead: f64,
    /// Expected wait in the queue.
    wait: Duration,
    /// Expected prefill time of the prompt itself.
    time: Duration,
}

/// Engines chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Name of the decode engine.
    pub decode: String,
    /// Name of the prefill engine; none for a local prefill on the decode engine.
    pub prefill: Option<String>,
    /// Figures that the decision was based on.
    pub figures: PlacementFigures,
}

/// Figures of the ledger that a placement was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementFigures {
    /// Expected wait in the queue of the fastest prefill engine; none if no prefill engine was
    /// considered.
    pub queue_time: Option<Duration>,
    /// Highest planned share of the memory of the decode engine.
    pub peak: f64,
    /// Estimated prefill rate of the pool, in tokens per millisecond.
    pub prefill_rate: f64,
    /// Estimated decode rate of one generation, in tokens per millisecond.
    pub decode_rate: f64,
}

/// State of a pool in which requests have to wait: usable engines and memory in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Number of prefill engines that may get work.
    pub prefill_engines: usize,
    /// Number of decode engines that may get work.
    pub decode_engines: usize,
    /// Share of the memory in use at the least filled of the decode engines; 1 without any.
    pub min_fill: f64,
}

impl Ledger {
    /// Replaces the set of engines by `engines`, each with whether it is usable; each engine holds
    /// `memory` tokens.
    ///
    /// An engine that is not usable gets no new work and keeps its plan. An engine that changed its
    /// role starts with an empty plan but keeps its prefill rate.
    pub fn sync<'a, I>(&mut self, engines: I, memory: u64)
    where
        I: Iterator<Item = (&'a Endpoint, bool)>,
    {
        let mut before = std::mem::take(&mut self.engines);
        for (engine, usable) in engines {
            let old = before.remove(&engine.name);
            let prefill_rate = old.as_ref().map(|old| old.prefill_rate).unwrap_or_default();
            let old = old.filter(|old| old.role == engine.role);
            let plan = EnginePlan {
                usable,
                slots: engine.slots,
                memory: memory as f64 * MEMORY_RATIO,
                prefill_rate,
                ..old.unwrap_or_else(|| EnginePlan::new(engine.role))
            };
            self.engines.insert(engine.name.clone(), plan);
        }
    }

    /// Sets the engines whose limit allows few more requests now. Those that prefill are kept for prompts
    /// of more than the usual length, as these delay generations most where they are prefilled locally.
    pub fn set_scarce(&mut self, engines: BTreeSet<String>) {
        self.scarce = engines;
    }

    /// Places a request; returns `None` if it has to wait.
    pub fn place(&mut self, request: &PlacementRequest, now: Tick) -> Option<Placement> {
        self.expire(now);
        let option = request
            .remote_prefill
            .then(|| self.choose_prefill(request, now))
            .flatten();
        let queue_time = option.as_ref().map(|option| option.wait);
        let tokens_ahead = option.as_ref().map(|option| option.tokens_ahead);
        let budget = WaitBudget::of(request.target);
        let local = self.plan_local_prefill(request, now);
        let avoids_queue = queue_time.is_some_and(|wait| wait > budget.short_queue);
        let spare =
            avoids_queue.then(|| self.choose_decode(&local, request, now, MAX_LOCAL_PREFILL_PEAK));
        let (run, prefill, (decode, peak)) = match (option, spare.flatten()) {
            (None, _) => (local, None, self.choose_decode(&local, request, now, 1.0)?),
            (Some(_), Some(decode)) => (local, None, decode),
            (Some(option), None) if option.wait > budget.queue => return None,
            (Some(option), None) => {
                let run = RunPlan {
                    start: now + option.wait + option.time,
                    local_prefill: false,
                    ..local
                };
                let decode = self.choose_decode(&run, request, now, 1.0)?;
                (run, Some(option.name), decode)
            }
        };
        if let Some(plan) = self.engines.get_mut(&decode) {
            plan.runs.push(run);
        }
        if let Some(plan) = prefill.as_ref().and_then(|name| self.engines.get_mut(name)) {
            if plan.queue.is_empty() {
                plan.queue_since = now;
            }
            plan.queue.push((request.id, run.prompt));
        }
        let placed = PlacedRequest {
            decode: decode.clone(),
            tokens_ahead: prefill.as_ref().and(tokens_ahead),
            prefill: prefill.clone(),
            organisation: request.organisation,
        };
        self.runs.insert(request.id, placed);
        self.usual_prompt += (run.prompt - self.usual_prompt) * SAMPLE_RATIO;
        let figures = PlacementFigures {
            queue_time,
            peak,
            prefill_rate: self.prefill_rate.tokens_per_ms(),
            decode_rate: self.decode_rate(),
        };
        Some(Placement {
            decode,
            prefill,
            figures,
        })
    }

    /// Returns the number of usable engines and the share of memory in use at `now`.
    pub fn pressure(&self, now: Tick) -> Pressure {
        let count = |role| {
            self.engines
                .values()
                .filter(|plan| plan.accepts(role))
                .count()
        };
        Pressure {
            prefill_engines: count(Role::Prefill),
            decode_engines: count(Role::Decode),
            min_fill: self.min_fill(now),
        }
    }

    /// Adds a request that another daemon has placed.
    ///
    /// Does nothing if the request is placed already or its decode engine is not known.
    pub fn add_remote(&mut self, run: &ActivePlacement, now: Tick) {
        if self.runs.contains_key(&run.request.id) {
            return;
        }
        let Some(plan) = self.engines.get_mut(&run.decode) else {
            return;
        };
        let start = now.before(run.running_for);
        plan.runs.push(RunPlan {
            id: run.request.id,
            prompt: run.request.prompt_tokens as f64,
            output: run.request.output_tokens.max(1) as f64,
            start,
            local_prefill: false,
        });
        let placed = PlacedRequest {
            decode: run.decode.clone(),
            prefill: None,
            tokens_ahead: None,
            organisation: run.request.organisation,
        };
        self.runs.insert(run.request.id, placed);
    }

    /// Releases a placement and updates the estimated rates with what it used.
    pub fn end(&mut self, end: &PlacementEnd, now: Tick) {
        self.expire(now);
        self.record_prefill(end);
        self.record_length(end);
        self.remove(end.id, now);
        let decode_rate = end.generated_tokens as f64 / end.decode_time.as_secs_f64() / 1_000.0;
        if decode_rate.is_finite() && end.generated_tokens > 0 {
            let old = self.decode_rate();
            self.decode_rate = Some(old + (decode_rate - old) * SAMPLE_RATIO);
        }
    }

    /// Records the length of an output that is complete.
    fn record_length(&mut self, end: &PlacementEnd) {
        let placed = self.runs.get(&end.id).filter(|_| end.complete);
        let plan = placed.and_then(|placed| self.engines.get(&placed.decode));
        let run = plan.and_then(|plan| plan.runs.iter().find(|run| run.id == end.id));
        if let Some(run) = run {
            self.lengths
                .record(end.generated_tokens as f64 / run.output);
        }
    }

    /// Updates the prefill rates with the time that the prompt and those queued before it took.
    fn record_prefill(&mut self, end: &PlacementEnd) {
        let Some(placed) = self.runs.get(&end.id) else {
            return;
        };
        // For a request that another daemon placed, the queue before it is not known.
        let Some(tokens_ahead) = placed.tokens_ahead else {
            return;
        };
        let decode = self.engines.get(&placed.decode);
        let mut runs = decode.into_iter().flat_map(|plan| &plan.runs);
        let Some(run) = runs.find(|run| run.id == end.id) else {
            return;
        };
        // The estimate corrects itself: a rate that is too low makes the queue look longer than it
        // is, so more tokens are counted for the same time, which raises the rate, and vice versa.
        let tokens = tokens_ahead + run.prompt;
        self.prefill_rate.record(tokens, end.prefill_time);
        let prefill = placed.prefill.as_ref();
        if let Some(plan) = prefill.and_then(|name| self.engines.get_mut(name)) {
            plan.prefill_rate.record(tokens, end.prefill_time);
        }
    }

    /// Returns the number of placed requests of each organisation, by the hash of its name.
    pub fn running(&self) -> BTreeMap<Option<u64>, usize> {
        let mut running = BTreeMap::new();
        for placed in self.runs.values() {
            *running.entry(placed.organisation).or_default() += 1;
        }
        running
    }

    /// Returns the number of placed requests.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no request is placed.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn decode_rate(&self) -> f64 {
        self.decode_rate.unwrap_or(INITIAL_DECODE_TOKENS_PER_MS)
    }

    /// Plans the generation of `request` with its prompt prefilled by the decode engine.
    fn plan_local_prefill(&self, request: &PlacementRequest, now: Tick) -> RunPlan {
        let prompt = request.prompt_tokens as f64;
        let millis = prompt * LOCAL_PREFILL_TIME_RATIO / self.prefill_rate.tokens_per_ms();
        RunPlan {
            id: request.id,
            prompt,
            output: request.output_tokens.max(1) as f64,
            start: now + Duration::from_secs_f64(millis / 1_000.0),
            local_prefill: true,
        }
    }

    /// Returns the prefill engine that is expected to finish the prompt first.
    fn choose_prefill(&self, request: &PlacementRequest, now: Tick) -> Option<PrefillOption> {
        let engines = self.engines.iter();
        let short = (request.prompt_tokens as f64) < self.usual_prompt;
        let usable = engines.filter(|(name, plan)| {
            plan.accepts(Role::Prefill)
                && !request.avoid.contains(name)
                && !(short && self.scarce.contains(*name))
        });
        let options = usable.map(|(name, plan)| {
            let rate = plan
                .prefill_rate
                .tokens_per_ms_or(self.prefill_rate.tokens_per_ms());
            let wait = plan.queue_time(rate, now);
            PrefillOption {
                name: name.clone(),
                tokens_ahead: wait.as_secs_f64() * 1_000.0 * rate,
                wait,
                time: Duration::from_secs_f64(request.prompt_tokens as f64 / rate / 1_000.0),
            }
        });
        options.min_by_key(|option| option.wait + option.time)
    }

    /// Returns the decode engine that `run` fits into with the lowest memory peak, and that peak as
    /// a share of its memory; none if all peaks exceed `limit`.
    fn choose_decode(
        &self,
        run: &RunPlan,
        request: &PlacementRequest,
        now: Tick,
        limit: f64,
    ) -> Option<(String, f64)> {
        let engines = self.engines.iter();
        let decoders = engines.filter(|(name, plan)| {
            plan.accepts(Role::Decode)
                && !request.avoid.contains(name)
                && plan.runs.len() < plan.slots as usize
                && !(run.local_prefill && plan.delays_decode(run.start - now, now))
        });
        let rates = OutputRates {
            rate: self.decode_rate(),
            lengths: &self.lengths,
        };
        let mut best: Option<(&String, f64)> = None;
        for (name, plan) in decoders {
            let limit = best.map_or(limit, |(_, peak)| peak);
            let peak = plan.peak_with(&run.within(plan.memory), &rates, now, limit);
            if let Some(peak) = peak.filter(|peak| best.is_none() || *peak < limit) {
                best = Some((name, peak));
            }
        }
        best.map(|(name, peak)| (name.clone(), peak))
    }

    /// Returns the lowest share of memory in use among the decode engines; 1 without any.
    fn min_fill(&self, now: Tick) -> f64 {
        let rate = self.decode_rate();
        let decoders = self.engines.values();
        let decoders = decoders.filter(|plan| plan.accepts(Role::Decode));
        let fills = decoders.map(|plan| plan.fill(rate, now));
        fills.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Removes a request from the plans of its engines.
    fn remove(&mut self, id: u64, now: Tick) {
        let Some(placed) = self.runs.remove(&id) else {
            return;
        };
        if let Some(plan) = self.engines.get_mut(&placed.decode) {
            plan.runs.retain(|run| run.id != id);
        }
        if let Some(plan) = placed.prefill.and_then(|name| self.engines.get_mut(&name)) {
            if plan.queue.first().is_some_and(|(first, _)| *first == id) {
                plan.queue_since = now;
            }
            plan.queue.retain(|(other, _)| *other != id);
        }
    }

    /// Removes placements that are past their expected end by more than `EXPIRY_GRACE`, and removes
    /// prompts from the queues that must have been prefilled by now.
    fn expire(&mut self, now: Tick) {
        let rate = self.decode_rate();
        let expired: Vec<_> = self
            .engines
            .values()
            .flat_map(|plan| &plan.runs)
            .filter(|run| run.start + run.longest_time(rate) + EXPIRY_GRACE < now)
            .map(|run| run.id)
            .collect();
        for id in expired {
            self.remove(id, now);
        }
        let known: Vec<_> = self.engines.values().flat_map(|plan| &plan.runs).collect();
        let known: std::collections::HashSet<_> = known.iter().map(|run| run.id).collect();
        self.runs.retain(|id, _| known.contains(id));
        let rate = self.prefill_rate.tokens_per_ms();
        for plan in self.engines.values_mut() {
            plan.advance(plan.prefill_rate.tokens_per_ms_or(rate), now);
        }
    }
}
