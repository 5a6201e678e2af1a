use {
    super::{
        SoakError,
        finding::Finding,
        soak_run::{CALLERS, DAEMONS, SoakPlan, SoakReport},
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
    /// first seed; a fresh one without it
    #[argh(option)]
    seed: Option<u64>,
    /// seeds to play, one after the other
    #[argh(option, default = "1")]
    count: u64,
    /// daemons
    #[argh(option, default = "DAEMONS")]
    daemons: usize,
    /// callers of each daemon
    #[argh(option, default = "CALLERS")]
    callers: usize,
    /// seconds in which faults begin
    #[argh(option, default = "10")]
    seconds: u64,
    /// faults of each seed
    #[argh(option, default = "10")]
    faults: usize,
    /// numbers of the faults to play, such as 2,5; all without it
    #[argh(option, from_str_fn(numbers))]
    only: Option<Vec<usize>>,
    /// leave bounds of time out, on a machine that does other work
    #[argh(switch)]
    untimed: bool,
    /// leave faults out one by one for as long as the same promise is broken
    #[argh(switch)]
    shrink: bool,
    /// folder for the daemons' settings and logs
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    folder: PathBuf,
}

impl SoakArguments {
    /// Runs what they say, and says on standard error what failed.
    pub fn run(&self) -> ExitCode {
        match self.play_all() {
            Ok(0) => ExitCode::SUCCESS,
            Ok(broken) => {
                eprintln!("soak: {broken} of {} seeds broke a promise", self.count);
                ExitCode::FAILURE
            }
            Err(e) => {
                eprintln!("soak: {e}");
                ExitCode::FAILURE
            }
        }
    }

    /// Plays every seed; returns how many broke a promise.
    fn play_all(&self) -> Result<usize, SoakError> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let fresh = || now.map_or(0, |now| now.as_secs());
        let first = self.seed.unwrap_or_else(fresh);
        let mut broken = 0;
        for seed in first..first + self.count {
            let plan = self.plan(seed);
            let found = self.play(&plan)?.found;
            if found.is_empty() {
                continue;
            }
            broken += 1;
            if self.shrink {
                self.shrink(plan, &found)?;
            }
        }
        Ok(broken)
    }

    fn plan(&self, seed: u64) -> SoakPlan {
        let time = Duration::from_secs(self.seconds);
        let mut plan = SoakPlan::new(seed, time, self.faults);
        plan.daemons = self.daemons;
        plan.callers = self.callers;
        if let Some(only) = &self.only {
            plan.faults.retain(|fault| only.contains(&fault.number));
        }
        plan
    }

    /// Plays one plan and prints what it showed.
    fn play(&self, plan: &SoakPlan) -> Result<SoakReport, SoakError> {
        let folder = self.folder.join(plan.seed.to_string());
        if folder.exists() {
            fs::remove_dir_all(&folder)?;
        }
        let runtime = Builder::new_multi_thread().enable_all().build()?;
        let mut report = runtime.block_on(async {
            let mut told = signal(SignalKind::terminate())?;
            // Dropping the play ends its daemons.
            tokio::select! {
                report = plan.play(&folder) => report,
                _ = told.recv() => Err(SoakError::Interrupted),
                _ = ctrl_c() => Err(SoakError::Interrupted),
            }
        })?;
        if self.untimed {
            report.found.retain(|finding| !finding.rule.is_timed());
        }
        println!(
            "seed {}: {} daemons, {} faults, {} requests, {} served, {} findings",
            plan.seed,
            plan.daemons,
            plan.faults.len(),
            report.asked,
            report.served,
            report.found.len()
        );
        if report.found.is_empty() {
            fs::remove_dir_all(&folder)?;
        } else {
            tell(plan, &report.found, &folder)?;
        }
        Ok(report)
    }

    /// Leaves faults out one by one, and prints the command for those that are needed.
    fn shrink(&self, mut plan: SoakPlan, found: &[Finding]) -> Result<(), SoakError> {
        for fault in plan.faults.clone() {
            let mut less = plan.clone();
            less.faults.retain(|other| other.number != fault.number);
            let again = self.play(&less)?.found;
            if found
                .iter()
                .any(|old| again.iter().any(|new| new.rule == old.rule))
            {
                plan = less;
            }
        }
        let kept: Vec<_> = plan
            .faults
            .iter()
            .map(|fault| fault.number.to_string())
            .collect();
        println!(
            "seed {} needs: --seed {} --daemons {} --callers {} --seconds {} --faults {} --only {}",
            plan.seed,
            plan.seed,
            self.daemons,
            self.callers,
            self.seconds,
            self.faults,
            kept.join(",")
        );
        Ok(())
    }
}

/// Numbers with commas between them.
fn numbers(text: &str) -> Result<Vec<usize>, String> {
    let words = text.split(',').map(str::parse);
    let numbers: Result<_, _> = words.collect();
    numbers.map_err(|e| format!("`{text}` is not a list such as 2,5: {e}"))
}

/// Prints findings, and writes them with the plan beside the logs.
fn tell(plan: &SoakPlan, found: &[Finding], folder: &Path) -> Result<(), SoakError> {
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
