use {
    super::{
        SoakError,
        daemon_process::RETRY_SLACK,
        finding::Finding,
        soak_run::{CALLERS, DAEMONS, EVENT_TIME, SoakPlan, SoakReport},
    },
    argh::FromArgs,
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        runtime::Builder,
        signal::{
            ctrl_c,
            unix::{SignalKind, signal},
        },
    },
};

/// Soak the real daemons under random faults, on loopback.
#[derive(Debug, FromArgs)]
pub struct SoakArguments {
    /// first seed; by default the current time in seconds since 1970
    #[argh(option)]
    seed: Option<u64>,
    /// number of seeds to run, one after the other
    #[argh(option, default = "1")]
    count: u64,
    /// number of daemons
    #[argh(option, default = "DAEMONS")]
    daemons: usize,
    /// number of callers per daemon
    #[argh(option, default = "CALLERS")]
    callers: usize,
    /// seconds within which faults begin
    #[argh(option, default = "10")]
    seconds: u64,
    /// number of faults per seed
    #[argh(option, default = "10")]
    faults: usize,
    /// number of pauses of engines per seed, beside the faults
    #[argh(option, default = "0")]
    pauses: usize,
    /// number of rolling stops of all daemons per seed, beside the faults
    #[argh(option, default = "0")]
    rounds: usize,
    /// number of daemons that a rolling stop stops at a time
    #[argh(option, default = "3")]
    together: usize,
    /// retries that all daemons together may make beyond a fifth of the requests
    #[argh(option, default = "RETRY_SLACK")]
    retry_slack: u64,
    /// milliseconds before each of the 12 events of a stream
    #[argh(option, default = "EVENT_TIME.as_millis() as u64")]
    event_ms: u64,
    /// numbers of the faults to inject, such as 2,5; by default all
    #[argh(option, from_str_fn(parse_numbers))]
    only: Option<Vec<usize>>,
    /// skip the checks of time bounds, for a machine that does other work
    #[argh(switch)]
    untimed: bool,
    /// rerun a failed seed with ever fewer faults while the same guarantee is still violated
    #[argh(switch)]
    shrink: bool,
    /// folder for the daemons' settings and logs, one subfolder per seed
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    folder: PathBuf,
}

impl SoakArguments {
    /// Runs the soak and prints an error to standard error. The exit status is a failure if a seed
    /// violates a guarantee or cannot run.
    pub fn run(&self) -> ExitCode {
        match self.run_seeds() {
            Ok(0) => ExitCode::SUCCESS,
            Ok(failed) => {
                eprintln!("soak: {failed} of {} seeds broke a promise", self.count);
                ExitCode::FAILURE
            }
            Err(e) => {
                eprintln!("soak: {e}");
                ExitCode::FAILURE
            }
        }
    }

    /// Runs every seed and returns how many violated a guarantee.
    fn run_seeds(&self) -> Result<usize, SoakError> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let time_seed = || now.map_or(0, |now| now.as_secs());
        let first = self.seed.unwrap_or_else(time_seed);
        let mut failed = 0;
        for seed in first..first + self.count {
            let plan = self.plan(seed);
            let found = self.run_plan(&plan)?.found;
            if found.is_empty() {
                continue;
            }
            failed += 1;
            if self.shrink {
                self.shrink(plan, &found)?;
            }
        }
        Ok(failed)
    }

    fn plan(&self, seed: u64) -> SoakPlan {
        let time = Duration::from_secs(self.seconds);
        let mut plan = SoakPlan::new(seed, time, self.faults);
        plan.daemons = self.daemons;
        plan.callers = self.callers;
        plan.retry_slack = self.retry_slack;
        plan.event_time = Duration::from_millis(self.event_ms);
        plan.add_series(time, self.pauses, self.rounds, self.together);
        if let Some(only) = &self.only {
            plan.faults.retain(|fault| only.contains(&fault.number));
        }
        plan
    }

    /// Runs one plan and prints its result; keeps the folder only if there are findings.
    fn run_plan(&self, plan: &SoakPlan) -> Result<SoakReport, SoakError> {
        let folder = self.folder.join(plan.seed.to_string());
        if folder.exists() {
            fs::remove_dir_all(&folder)?;
        }
        let runtime = Builder::new_multi_thread().enable_all().build()?;
        let mut report = runtime.block_on(async {
            let mut terminate = signal(SignalKind::terminate())?;
            // Dropping the future of the run kills its daemons.
            tokio::select! {
                report = plan.run(&folder) => report,
                _ = terminate.recv() => Err(SoakError::Interrupted),
                _ = ctrl_c() => Err(SoakError::Interrupted),
            }
        })?;
        if self.untimed {
            report.found.retain(|finding| !finding.guarantee.is_timed());
        }
        println!(
            "seed {}: {} daemons, {} faults, {} requests, {} served, {} findings",
            plan.seed,
            plan.daemons,
            plan.faults.len(),
            report.requests,
            report.served,
            report.found.len()
        );
        if report.found.is_empty() {
            fs::remove_dir_all(&folder)?;
        } else {
            report_findings(plan, &report.found, &folder)?;
        }
        Ok(report)
    }

    /// Removes each fault that is not needed to violate the same guarantee, and prints the
    /// arguments that reproduce the violation.
    fn shrink(&self, mut plan: SoakPlan, found: &[Finding]) -> Result<(), SoakError> {
        for fault in plan.faults.clone() {
            let mut fewer = plan.clone();
            fewer.faults.retain(|other| other.number != fault.number);
            let rerun = self.run_plan(&fewer)?.found;
            if found
                .iter()
                .any(|old| rerun.iter().any(|new| new.guarantee == old.guarantee))
            {
                plan = fewer;
            }
        }
        let kept: Vec<_> = plan
            .faults
            .iter()
            .map(|fault| fault.number.to_string())
            .collect();
        println!(
            "seed {} needs: --seed {} --daemons {} --callers {} --seconds {} --faults {} --pauses {} \
             --rounds {} --together {} --retry-slack {} --event-ms {} --only {}",
            plan.seed,
            plan.seed,
            self.daemons,
            self.callers,
            self.seconds,
            self.faults,
            self.pauses,
            self.rounds,
            self.together,
            self.retry_slack,
            self.event_ms,
            kept.join(",")
        );
        Ok(())
    }
}

/// Parses a comma-separated list of numbers.
fn parse_numbers(text: &str) -> Result<Vec<usize>, String> {
    let words = text.split(',').map(str::parse);
    let numbers: Result<_, _> = words.collect();
    numbers.map_err(|e| {
        format!("`{text}` is not a comma-separated list of fault numbers such as 2,5: {e}")
    })
}

/// Prints the plan and the findings, and writes both to `found.txt` beside the logs.
fn report_findings(plan: &SoakPlan, found: &[Finding], folder: &Path) -> Result<(), SoakError> {
    let mut text = String::new();
    for fault in &plan.faults {
        text.push_str(&fault.to_string());
        text.push('\n');
    }
    for finding in found {
        text.push_str(&finding.to_string());
        text.push('\n');
    }
    print!("{text}");
    fs::write(folder.join("found.txt"), text)?;
    println!("logs: {}", folder.display());
    Ok(())
}
