use {
    super::{CommandError, ExitStatus, Format, print_json},
    crate::emulator::{FaultReport, FaultSchedule, Profile, run_schedule},
    argh::FromArgs,
    serde::Serialize,
    std::ops::Range,
    tokio::task::JoinSet,
};

/// Run seeded schedules of faults against emulated sites and check the invariants.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct FaultsCommand {
    /// profile of sheet and load: `kovacsreti` or `trin-cymru` (default: alternating by seed)
    #[argh(option)]
    profile: Option<Profile>,
    /// first seed (default 0)
    #[argh(option, default = "0")]
    from: u64,
    /// number of schedules to run (default 20)
    #[argh(option, default = "20")]
    count: u64,
    /// number of schedules to run at the same time (default 4)
    #[argh(option, default = "4")]
    parallel: usize,
    /// output format: `table` or `json` (default table)
    #[argh(option, default = "Format::Table")]
    format: Format,
}

/// Totals over all schedules.
#[derive(Debug, Default, Serialize)]
struct Summary {
    /// Schedules that were run.
    schedules: u64,
    /// Requests sent.
    requests: u64,
    /// Requests answered completely.
    answered: u64,
    /// Requests refused.
    refused: u64,
    /// Requests that ended early in a way that the caller could see.
    broken_off: u64,
    /// Requests whose caller disconnected on purpose.
    left: u64,
    /// Requests with neither a complete response nor a refusal nor a visible end.
    lost: u64,
    /// Requests whose response was not the expected one.
    wrong: u64,
    /// Idempotency keys with two responses from different runs.
    answered_twice: u64,
    /// Idempotency keys that ran more than once.
    ran_twice: u64,
    /// Idempotency keys that ran although a response to the caller said that they did not.
    ran_unsaid: u64,
    /// Pieces of engine memory held after all requests of a schedule had ended.
    memory_held_after: u64,
    /// Longest time after a schedule until all engine memory was free, in milliseconds.
    memory_free_ms: u64,
    /// Reports of the schedules that broke an invariant.
    failed: Vec<FaultReport>,
}

impl FaultsCommand {
    /// Runs the schedules and prints the totals.
    ///
    /// # Errors
    ///
    /// Fails if `--parallel` is 0, a schedule cannot be run or an invariant was broken.
    pub async fn run(self) -> Result<(), CommandError> {
        if self.parallel == 0 {
            let message = "--parallel must be at least 1";
            return Err(CommandError::with_status(ExitStatus::Usage, message));
        }
        let summary = self.run_all().await?;
        self.print(&summary)?;
        if summary.failed.is_empty() {
            return Ok(());
        }
        let message = "at least one invariant was broken; see the reports with their seeds above";
        Err(CommandError::with_status(ExitStatus::Invariant, message))
    }

    async fn run_all(&self) -> Result<Summary, CommandError> {
        let mut summary = Summary::default();
        let mut seeds = self.seeds();
        let mut running = JoinSet::new();
        loop {
            while running.len() < self.parallel
                && let Some(seed) = seeds.next()
            {
                let schedule = FaultSchedule::draw(self.profile(seed), seed);
                running.spawn(async move { run_schedule(&schedule).await });
            }
            let Some(done) = running.join_next().await else {
                return Ok(summary);
            };
            let report = done.map_err(|e| CommandError::failed(e.to_string()))?;
            let report = report.map_err(|e| CommandError::failed(e.to_string()))?;
            summary.add(report);
        }
    }

    fn seeds(&self) -> Range<u64> {
        self.from..self.from.saturating_add(self.count)
    }

    fn profile(&self, seed: u64) -> Profile {
        let by_seed = if seed.is_multiple_of(2) {
            Profile::Kovacsreti
        } else {
            Profile::TrinCymru
        };
        self.profile.unwrap_or(by_seed)
    }

    fn print(&self, summary: &Summary) -> Result<(), CommandError> {
        if self.format == Format::Json {
            return print_json(summary);
        }
        for (name, value) in summary.rows() {
            println!("{name:<20} {value}");
        }
        for report in &summary.failed {
            print_json(report)?;
        }
        Ok(())
    }
}

impl Summary {
    fn add(&mut self, report: FaultReport) {
        let verdict = &report.verdict;
        self.schedules += 1;
        self.requests += u64::from(verdict.requests);
        self.answered += u64::from(verdict.answered);
        self.refused += u64::from(verdict.refused.values().sum::<u32>());
        self.broken_off += u64::from(verdict.broken);
        self.left += u64::from(verdict.left);
        self.lost += u64::from(verdict.lost);
        self.wrong += u64::from(verdict.wrong);
        self.answered_twice += u64::from(verdict.answered_twice);
        self.ran_twice += u64::from(verdict.ran_twice);
        self.ran_unsaid += u64::from(verdict.ran_unsaid);
        self.memory_held_after += u64::from(verdict.memory_held_after);
        self.memory_free_ms = self
            .memory_free_ms
            .max(report.memory_free_ms.unwrap_or_default());
        if verdict.is_broken() {
            self.failed.push(report);
        }
    }

    fn rows(&self) -> [(&'static str, u64); 13] {
        [
            ("schedules", self.schedules),
            ("requests", self.requests),
            ("answered", self.answered),
            ("refused", self.refused),
            ("broken off", self.broken_off),
            ("left by caller", self.left),
            ("lost", self.lost),
            ("wrong answer", self.wrong),
            ("answered twice", self.answered_twice),
            ("ran twice", self.ran_twice),
            ("ran, told not run", self.ran_unsaid),
            ("memory held after", self.memory_held_after),
            ("memory free ms, most", self.memory_free_ms),
        ]
    }
}
