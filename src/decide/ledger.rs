use {
    super::{EnginePlan, RunPlan},
    crate::{
        board::{Endpoint, Role, Tick},
        port::{PlaceAsk, PlaceEnd, PlaceRun},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Share of an engine's memory that may be planned for.
const MEMORY_SHARE: f64 = 0.95;

/// Tokens a millisecond that an engine is taken to read before any was seen.
const READ_RATE: f64 = 50.0;

/// Tokens a millisecond that one answer is taken to grow by before any was seen.
const WRITE_RATE: f64 = 1.4;

/// Weight of the newest sample of a rate.
const RATE_SAMPLE: f64 = 0.1;

/// Part of the reading rate that is kept with each slower sample.
const READ_DECAY: f64 = 0.99;

/// Longest line before an engine that reads prompts.
const LINE_TIME: Duration = Duration::from_millis(350);

/// Fill of the engines below which a prompt that finds only long lines is read where it decodes.
const SPARE_FILL: f64 = 0.55;

/// How much longer reading takes where it decodes.
const IN_PLACE: f64 = 2.0;

/// Time after its expected end at which a place counts as given back although nobody said so.
const LAPSE_TIME: Duration = Duration::from_secs(4);

/// What is planned for the engines of one pool, by the one daemon that places its requests.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    engines: BTreeMap<String, EnginePlan>,
    runs: HashMap<u64, (String, Option<String>)>,
    reading: Option<f64>,
    writing: Option<f64>,
}

/// Where a request was placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Name of the engine that decodes.
    pub decode: String,
    /// Name of the engine that reads the prompt.
    pub prefill: Option<String>,
    /// Figures that decided.
    pub figures: PlaceFigures,
}

/// Figures of the ledger that decided about a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceFigures {
    /// Expected time in line before the prompt is read; none if no engine reads prompts.
    pub line: Option<Duration>,
    /// Greatest planned share of the memory of the engine that decodes.
    pub peak: f64,
    /// Tokens of a prompt that are read in a millisecond.
    pub reading: f64,
    /// Tokens of an answer that are generated in a millisecond.
    pub writing: f64,
}

impl Ledger {
    /// Brings the engines up to date with the fleet; each holds `memory` tokens. An engine that is
    /// not usable gets nothing and keeps its plan.
    pub fn sync<'a, I>(&mut self, engines: I, memory: u64)
    where
        I: Iterator<Item = (&'a Endpoint, bool)>,
    {
        let mut before = std::mem::take(&mut self.engines);
        for (engine, usable) in engines {
            let old = before.remove(&engine.name);
            let old = old.filter(|old| old.role == engine.role);
            let plan = EnginePlan {
                usable,
                slots: engine.slots,
                memory: memory as f64 * MEMORY_SHARE,
                ..old.unwrap_or_else(|| EnginePlan::new(engine.role))
            };
            self.engines.insert(engine.name.clone(), plan);
        }
    }

    /// Places a request, or nothing if it has to wait.
    pub fn place(&mut self, ask: &PlaceAsk, now: Tick) -> Option<Placement> {
        self.lapse(now);
        let rates = (self.read_rate(), self.write_rate());
        let reader = ask.apart.then(|| self.reader(ask, now)).flatten();
        let line = reader.as_ref().map(|(_, wait)| *wait);
        let fits = reader.as_ref().is_some_and(|(_, wait)| *wait <= LINE_TIME);
        let (start, prefill) = match reader {
            Some((name, wait)) if fits => {
                let reading = Duration::from_secs_f64(ask.prompt as f64 / rates.0 / 1_000.0);
                (now + wait + reading, Some(name))
            }
            reader => {
                if reader.is_some() && self.least_fill(now) > SPARE_FILL {
                    return None;
                }
                let reading = ask.prompt as f64 * IN_PLACE / rates.0 / 1_000.0;
                (now + Duration::from_secs_f64(reading), None)
            }
        };
        let run = RunPlan {
            id: ask.id,
            prompt: ask.prompt as f64,
            output: ask.output.max(1) as f64,
            start,
        };
        let (decode, peak) = self.decoder(&run, ask, now)?;
        if let Some(plan) = self.engines.get_mut(&decode) {
            plan.runs.push(run);
        }
        if let Some(plan) = prefill.as_ref().and_then(|name| self.engines.get_mut(name)) {
            if plan.line.is_empty() {
                plan.line_since = now;
            }
            plan.line.push((ask.id, run.prompt));
        }
        self.runs.insert(ask.id, (decode.clone(), prefill.clone()));
        let figures = PlaceFigures {
            line,
            peak,
            reading: rates.0,
            writing: rates.1,
        };
        Some(Placement {
            decode,
            prefill,
            figures,
        })
    }

    /// Takes over a request that was placed elsewhere.
    pub fn adopt(&mut self, run: &PlaceRun, now: Tick) {
        if self.runs.contains_key(&run.ask.id) {
            return;
        }
        let Some(plan) = self.engines.get_mut(&run.decode) else {
            return;
        };
        let start = now.before(run.since);
        plan.runs.push(RunPlan {
            id: run.ask.id,
            prompt: run.ask.prompt as f64,
            output: run.ask.output.max(1) as f64,
            start,
        });
        self.runs.insert(run.ask.id, (run.decode.clone(), None));
    }

    /// Gives places back and learns from what was used.
    pub fn end(&mut self, end: &PlaceEnd) {
        let prompt = self.prompt(end.id);
        self.forget(end.id);
        // Time in line counts as reading, so that the fastest of the latest samples is true.
        let reading = prompt.unwrap_or(0.0) / end.reading.as_secs_f64() / 1_000.0;
        if reading.is_finite() && reading > 0.0 {
            self.reading = Some(reading.max(self.read_rate() * READ_DECAY));
        }
        let writing = end.generated as f64 / end.decoding.as_secs_f64() / 1_000.0;
        if writing.is_finite() && end.generated > 0 {
            let old = self.write_rate();
            self.writing = Some(old + (writing - old) * RATE_SAMPLE);
        }
    }

    /// Tokens of the prompt of a request.
    fn prompt(&self, id: u64) -> Option<f64> {
        let plan = self.engines.get(&self.runs.get(&id)?.0)?;
        let run = plan.runs.iter().find(|run| run.id == id);
        run.map(|run| run.prompt)
    }

    /// Requests that are placed.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no request is placed.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn read_rate(&self) -> f64 {
        self.reading.unwrap_or(READ_RATE)
    }

    fn write_rate(&self) -> f64 {
        self.writing.unwrap_or(WRITE_RATE)
    }

    /// The reading engine with the shortest line, and the time until it is free.
    fn reader(&self, ask: &PlaceAsk, now: Tick) -> Option<(String, Duration)> {
        let rate = self.read_rate();
        let engines = self.engines.iter();
        let readers =
            engines.filter(|(name, plan)| plan.takes(Role::Prefill) && !ask.avoid.contains(name));
        let lines = readers.map(|(name, plan)| (name, plan.line_time(rate, now)));
        let shortest = lines.min_by_key(|(_, wait)| *wait)?;
        Some((shortest.0.clone(), shortest.1))
    }

    /// The decoding engine that `run` fits into with the lowest peak, and that peak.
    fn decoder(&self, run: &RunPlan, ask: &PlaceAsk, now: Tick) -> Option<(String, f64)> {
        let rate = self.write_rate();
        let engines = self.engines.iter();
        let decoders = engines.filter(|(name, plan)| {
            plan.takes(Role::Decode)
                && !ask.avoid.contains(name)
                && plan.runs.len() < plan.slots as usize
        });
        // What is larger than an engine must not wait for ever: the engine itself refuses it.
        let peak = |plan: &EnginePlan| plan.peak_with(&run.within(plan.memory), rate, now);
        let peaks = decoders.map(|(name, plan)| (name, peak(plan)));
        let fitting = peaks.filter(|(_, peak)| *peak <= 1.0);
        let best = fitting.min_by(|a, b| a.1.total_cmp(&b.1))?;
        Some((best.0.clone(), best.1))
    }

    /// Lowest fill among the decoding engines.
    fn least_fill(&self, now: Tick) -> f64 {
        let rate = self.write_rate();
        let decoders = self.engines.values();
        let decoders = decoders.filter(|plan| plan.takes(Role::Decode));
        let fills = decoders.map(|plan| plan.fill(rate, now));
        fills.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    fn forget(&mut self, id: u64) {
        let Some((decode, prefill)) = self.runs.remove(&id) else {
            return;
        };
        if let Some(plan) = self.engines.get_mut(&decode) {
            plan.runs.retain(|run| run.id != id);
        }
        if let Some(plan) = prefill.and_then(|name| self.engines.get_mut(&name)) {
            plan.line.retain(|(other, _)| *other != id);
        }
    }

    /// Removes what should have ended long ago.
    fn lapse(&mut self, now: Tick) {
        let rate = self.write_rate();
        let lapsed: Vec<_> = self
            .engines
            .values()
            .flat_map(|plan| &plan.runs)
            .filter(|run| run.start + run.time(rate) + LAPSE_TIME < now)
            .map(|run| run.id)
            .collect();
        for id in lapsed {
            self.forget(id);
        }
        let known: Vec<_> = self.engines.values().flat_map(|plan| &plan.runs).collect();
        let known: std::collections::HashSet<_> = known.iter().map(|run| run.id).collect();
        self.runs.retain(|id, _| known.contains(id));
        let reading = self.read_rate();
        for plan in self.engines.values_mut() {
            plan.advance(reading, now);
        }
    }
}
