use {
    super::{EnginePlan, ReadRate, RunPlan},
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

/// Tokens a millisecond that one answer is taken to grow by before any was seen.
const WRITE_RATE: f64 = 1.4;

/// Weight of the newest sample of a rate.
const RATE_SAMPLE: f64 = 0.1;

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
    runs: HashMap<u64, Placed>,
    reading: ReadRate,
    writing: Option<f64>,
}

/// Engines of one request that has its places.
#[derive(Clone, Debug)]
struct Placed {
    decode: String,
    prefill: Option<String>,
    ahead: Option<f64>,
}

/// An engine that may read a prompt.
#[derive(Clone, Debug)]
struct Reader {
    name: String,
    ahead: f64,
    wait: Duration,
    time: Duration,
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

/// Why nothing can be placed: what there is, and how full it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Engines that may be given prompts to read.
    pub readers: usize,
    /// Engines that may be given answers to generate.
    pub decoders: usize,
    /// Least share of the memory in use among these.
    pub fill: f64,
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
            let reading = old.as_ref().map(|old| old.reading).unwrap_or_default();
            let old = old.filter(|old| old.role == engine.role);
            let plan = EnginePlan {
                usable,
                slots: engine.slots,
                memory: memory as f64 * MEMORY_SHARE,
                reading,
                ..old.unwrap_or_else(|| EnginePlan::new(engine.role))
            };
            self.engines.insert(engine.name.clone(), plan);
        }
    }

    /// Places a request, or nothing if it has to wait.
    pub fn place(&mut self, ask: &PlaceAsk, now: Tick) -> Option<Placement> {
        self.lapse(now);
        let reading = self.reading.per_milli();
        let reader = ask.apart.then(|| self.reader(ask, now)).flatten();
        let line = reader.as_ref().map(|reader| reader.wait);
        let ahead = reader.as_ref().map(|reader| reader.ahead);
        let fits = line.is_some_and(|wait| wait <= LINE_TIME);
        let (start, prefill) = match reader {
            Some(reader) if fits => (now + reader.wait + reader.time, Some(reader.name)),
            reader => {
                if reader.is_some() && self.least_fill(now) > SPARE_FILL {
                    return None;
                }
                let reading = ask.prompt as f64 * IN_PLACE / reading / 1_000.0;
                (now + Duration::from_secs_f64(reading), None)
            }
        };
        let run = RunPlan {
            id: ask.id,
            prompt: ask.prompt as f64,
            output: ask.output.max(1) as f64,
            start,
            in_place: prefill.is_none(),
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
        let placed = Placed {
            decode: decode.clone(),
            prefill: prefill.clone(),
            ahead,
        };
        self.runs.insert(ask.id, placed);
        let figures = PlaceFigures {
            line,
            peak,
            reading,
            writing: self.write_rate(),
        };
        Some(Placement {
            decode,
            prefill,
            figures,
        })
    }

    /// What there is at `now`.
    pub fn pressure(&self, now: Tick) -> Pressure {
        let count = |role| {
            self.engines
                .values()
                .filter(|plan| plan.takes(role))
                .count()
        };
        Pressure {
            readers: count(Role::Prefill),
            decoders: count(Role::Decode),
            fill: self.least_fill(now),
        }
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
            in_place: false,
        });
        let placed = Placed {
            decode: run.decode.clone(),
            prefill: None,
            ahead: None,
        };
        self.runs.insert(run.ask.id, placed);
    }

    /// Gives places back and learns from what was used.
    pub fn end(&mut self, end: &PlaceEnd, now: Tick) {
        self.lapse(now);
        self.learn(end);
        self.forget(end.id, now);
        let writing = end.generated as f64 / end.decoding.as_secs_f64() / 1_000.0;
        if writing.is_finite() && end.generated > 0 {
            let old = self.write_rate();
            self.writing = Some(old + (writing - old) * RATE_SAMPLE);
        }
    }

    /// Learns how fast a prompt was read, with what was in line before it.
    fn learn(&mut self, end: &PlaceEnd) {
        let Some(placed) = self.runs.get(&end.id) else {
            return;
        };
        // What was in line before a request that was placed elsewhere is not known.
        let Some(ahead) = placed.ahead else {
            return;
        };
        let decode = self.engines.get(&placed.decode);
        let mut runs = decode.into_iter().flat_map(|plan| &plan.runs);
        let Some(run) = runs.find(|run| run.id == end.id) else {
            return;
        };
        // A rate that is too low makes the line look too long, which raises it, and the reverse.
        let tokens = ahead + run.prompt;
        self.reading.note(tokens, end.reading);
        let reader = placed.prefill.as_ref();
        if let Some(reader) = reader.and_then(|name| self.engines.get_mut(name)) {
            reader.reading.note(tokens, end.reading);
        }
    }

    /// Requests that are placed.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no request is placed.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn write_rate(&self) -> f64 {
        self.writing.unwrap_or(WRITE_RATE)
    }

    /// The engine that has the prompt read first.
    fn reader(&self, ask: &PlaceAsk, now: Tick) -> Option<Reader> {
        let engines = self.engines.iter();
        let readers =
            engines.filter(|(name, plan)| plan.takes(Role::Prefill) && !ask.avoid.contains(name));
        let readers = readers.map(|(name, plan)| {
            let rate = plan.reading.or(self.reading.per_milli());
            let wait = plan.line_time(rate, now);
            Reader {
                name: name.clone(),
                ahead: wait.as_secs_f64() * 1_000.0 * rate,
                wait,
                time: Duration::from_secs_f64(ask.prompt as f64 / rate / 1_000.0),
            }
        });
        readers.min_by_key(|reader| reader.wait + reader.time)
    }

    /// The decoding engine that `run` fits into with the lowest peak, and that peak.
    fn decoder(&self, run: &RunPlan, ask: &PlaceAsk, now: Tick) -> Option<(String, f64)> {
        let rate = self.write_rate();
        let engines = self.engines.iter();
        let decoders = engines.filter(|(name, plan)| {
            plan.takes(Role::Decode)
                && !ask.avoid.contains(name)
                && plan.runs.len() < plan.slots as usize
                && !(run.in_place && plan.holds_up(run.start - now, now))
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

    fn forget(&mut self, id: u64, now: Tick) {
        let Some(placed) = self.runs.remove(&id) else {
            return;
        };
        if let Some(plan) = self.engines.get_mut(&placed.decode) {
            plan.runs.retain(|run| run.id != id);
        }
        if let Some(plan) = placed.prefill.and_then(|name| self.engines.get_mut(&name)) {
            if plan.line.first().is_some_and(|(first, _)| *first == id) {
                plan.line_since = now;
            }
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
            self.forget(id, now);
        }
        let known: Vec<_> = self.engines.values().flat_map(|plan| &plan.runs).collect();
        let known: std::collections::HashSet<_> = known.iter().map(|run| run.id).collect();
        self.runs.retain(|id, _| known.contains(id));
        let reading = self.reading.per_milli();
        for plan in self.engines.values_mut() {
            plan.advance(plan.reading.or(reading), now);
        }
    }
}
