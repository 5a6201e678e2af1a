use {
    super::{ReadRate, RunPlan},
    crate::board::{Role, Tick},
    std::time::Duration,
};

/// Longest time for which prompts that are read in place may hold an engine's answers up together.
const IN_PLACE_MOST: Duration = Duration::from_millis(250);

/// What is planned for one engine.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// What it does.
    pub role: Role,
    /// Whether it may get work.
    pub usable: bool,
    /// Answers that it generates at once.
    pub slots: u32,
    /// Tokens that may be planned for.
    pub memory: f64,
    /// Answers that it generates, or is to.
    pub runs: Vec<RunPlan>,
    /// Requests whose prompts it is to read, in order, with their tokens.
    pub line: Vec<(u64, f64)>,
    /// Since when it reads the first of the line.
    pub line_since: Tick,
    /// How fast it has read prompts.
    pub reading: ReadRate,
}

impl EnginePlan {
    /// An engine for which nothing is planned.
    pub fn new(role: Role) -> Self {
        Self {
            role,
            usable: false,
            slots: 0,
            memory: 0.0,
            runs: Vec::new(),
            line: Vec::new(),
            line_since: Tick(0),
            reading: ReadRate::default(),
        }
    }

    /// Whether it may get work of `role`.
    pub fn takes(&self, role: Role) -> bool {
        self.usable && self.role == role
    }

    /// Whether a prompt that is read in `time` between the tokens of other answers would, with
    /// those that are being read so already, make the pauses of these too long.
    pub fn holds_up(&self, time: Duration, now: Tick) -> bool {
        let reading = self.runs.iter().filter(|run| run.in_place);
        let left: Duration = reading.map(|run| run.start - now).sum();
        !left.is_zero() && left + time > IN_PLACE_MOST
    }

    /// Share of the memory in use.
    pub fn fill(&self, rate: f64, now: Tick) -> f64 {
        let used: f64 = self.runs.iter().map(|run| run.memory(rate, now)).sum();
        used / self.memory.max(1.0)
    }

    /// Greatest share of the memory in use from `now` on, with `run`.
    ///
    /// Memory grows between the ends of answers, so the peak is just before one of them.
    pub fn peak_with(&self, run: &RunPlan, rate: f64, now: Tick) -> f64 {
        let runs = || self.runs.iter().chain([run]);
        let ends = runs().map(|run| run.end(rate, now));
        let sums = ends.map(|at| {
            let alive = runs().filter(|run| run.end(rate, now) >= at);
            alive.map(|run| run.memory(rate, at)).sum::<f64>()
        });
        sums.fold(0.0, f64::max) / self.memory.max(1.0)
    }

    /// Time until the prompts in line are read.
    pub fn line_time(&self, rate: f64, now: Tick) -> Duration {
        let tokens: f64 = self.line.iter().map(|(_, tokens)| tokens).sum();
        let whole = Duration::from_secs_f64(tokens / rate / 1_000.0);
        whole.saturating_sub(now - self.line_since)
    }

    /// Takes prompts that must have been read out of the line.
    pub fn advance(&mut self, rate: f64, now: Tick) {
        while let Some((_, tokens)) = self.line.first() {
            let took = Duration::from_secs_f64(tokens / rate / 1_000.0);
            if self.line_since + took > now {
                return;
            }
            self.line_since = self.line_since + took;
            self.line.remove(0);
        }
    }
}
