use {
    super::{OutputRates, PrefillRate, RunPlan, output_lengths::MAX_OUTPUT_RATIO},
    crate::board::{Role, Tick},
    std::time::Duration,
};

/// Longest total time for which local prefills may delay the generations of one decode engine.
const MAX_LOCAL_PREFILL: Duration = Duration::from_millis(250);

/// Times at which the memory in use is looked at over the longest time of a generation.
const PEAK_STEPS: u32 = 12;

/// Standard deviations of the memory in use that are kept free beyond its expected value.
const MARGIN_DEVIATIONS: f64 = 1.5;

/// Planned load of one engine.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Stage that the engine runs.
    pub role: Role,
    /// Whether new work may be placed at the engine.
    pub usable: bool,
    /// Maximum number of requests that the engine runs at once.
    pub slots: u32,
    /// Part of the memory that may be planned for, in tokens.
    pub memory: f64,
    /// Generations that are running or planned.
    pub runs: Vec<RunPlan>,
    /// Prompts queued for prefill, in order: request id and length in tokens.
    pub queue: Vec<(u64, f64)>,
    /// When prefill of the first prompt in the queue began.
    pub queue_since: Tick,
    /// Measured prefill rate.
    pub prefill_rate: PrefillRate,
}

impl EnginePlan {
    /// Creates the plan of an engine without work.
    pub fn new(role: Role) -> Self {
        Self {
            role,
            usable: false,
            slots: 0,
            memory: 0.0,
            runs: Vec::new(),
            queue: Vec::new(),
            queue_since: Tick(0),
            prefill_rate: PrefillRate::default(),
        }
    }

    /// Whether new work of `role` may be placed at the engine.
    pub fn accepts(&self, role: Role) -> bool {
        self.usable && self.role == role
    }

    /// Whether a local prefill of length `time` would delay the running generations too long.
    ///
    /// It shares the limit with the local prefills that are still running; a first one is always
    /// allowed.
    pub fn delays_decode(&self, time: Duration, now: Tick) -> bool {
        let prefills = self.runs.iter().filter(|run| run.local_prefill);
        let left: Duration = prefills.map(|run| run.start - now).sum();
        !left.is_zero() && left + time > MAX_LOCAL_PREFILL
    }

    /// Returns the share of the memory in use at `now`; `rate` is in output tokens per millisecond.
    pub fn fill(&self, rate: f64, now: Tick) -> f64 {
        let used: f64 = self.runs.iter().map(|run| run.memory(rate, now)).sum();
        used / self.memory.max(1.0)
    }

    /// Returns the highest share of the memory in use from `now` on if `run` is added, with a margin
    /// for generations that turn out longer than most; none if it exceeds `limit`.
    ///
    /// A request that needs more memory than the engine has counts as one that fills it, so that it is
    /// not kept waiting forever; the engine refuses it.
    pub fn peak_with(
        &self,
        run: &RunPlan,
        rates: &OutputRates<'_>,
        now: Tick,
        limit: f64,
    ) -> Option<f64> {
        // A local prefill uses the memory at once, another one with its KV cache.
        let from = if run.local_prefill { now } else { run.start };
        let until = run.start + run.longest_time(rates.rate);
        let step = (until - from).as_secs_f64() * 1_000.0 / f64::from(PEAK_STEPS);
        let runs = self.runs.iter().chain([run]);
        let courses: Vec<_> = runs.map(|run| Course::new(run, rates, now, from)).collect();
        let times = (0..=PEAK_STEPS).map(|i| f64::from(i) * step);
        let memory = self.memory.max(1.0);
        let alone = self.runs.is_empty();
        let mut peak = 0.0_f64;
        for ms in times {
            let used = expected_use(&courses, rates, ms) / memory;
            peak = peak.max(if alone { used.min(1.0) } else { used });
            if peak > limit {
                return None;
            }
        }
        Some(peak)
    }

    /// Returns the time until all queued prompts are prefilled at `rate` tokens per millisecond.
    pub fn queue_time(&self, rate: f64, now: Tick) -> Duration {
        let tokens: f64 = self.queue.iter().map(|(_, tokens)| tokens).sum();
        let total = Duration::from_secs_f64(tokens / rate / 1_000.0);
        total.saturating_sub(now - self.queue_since)
    }

    /// Removes the prompts from the queue that are prefilled by `now` at `rate` tokens per
    /// millisecond.
    pub fn advance(&mut self, rate: f64, now: Tick) {
        while let Some((_, tokens)) = self.queue.first() {
            let took = Duration::from_secs_f64(tokens / rate / 1_000.0);
            if self.queue_since + took > now {
                return;
            }
            self.queue_since = self.queue_since + took;
            self.queue.remove(0);
        }
    }
}

/// What the memory of a generation over time follows from.
struct Course {
    prompt: f64,
    output: f64,
    /// Milliseconds from the first token to the first time that is looked at; negative before it.
    age: f64,
    /// Share of generations that got as far as this one has.
    reached: f64,
}

impl Course {
    fn new(run: &RunPlan, rates: &OutputRates<'_>, now: Tick, from: Tick) -> Self {
        let output = run.output.max(1.0);
        let generated = run.age(now).max(0.0) * rates.rate;
        Self {
            prompt: run.prompt,
            output,
            age: run.age(from),
            reached: rates.lengths.share(generated / output),
        }
    }
}

/// Returns the memory that generations use `ms` milliseconds after the first time that is looked at,
/// in tokens, with the margin.
///
/// Each of them either goes on or has ended by then, independently of the others.
fn expected_use(courses: &[Course], rates: &OutputRates<'_>, ms: f64) -> f64 {
    let (mut mean, mut variance) = (0.0, 0.0);
    for course in courses {
        let progress = (course.age + ms).max(0.0) * rates.rate / course.output;
        let running = (rates.lengths.share(progress) / course.reached).min(1.0);
        let memory = course.prompt + course.output * progress.min(MAX_OUTPUT_RATIO);
        mean += memory * running;
        variance += memory * memory * running * (1.0 - running);
    }
    mean + variance.sqrt() * MARGIN_DEVIATIONS
}
