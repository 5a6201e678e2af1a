use {
    super::{
        CommandError, ExitStatus,
        bench_plot::draw,
        bench_profile::{BenchProfile, KOVACSRET, TRIN},
        bench_run::{BenchPlan, PolicyKind, Scenario},
        bench_score::BenchScore,
    },
    argh::FromArgs,
    std::{path::PathBuf, time::Duration},
};

/// Offered loads of the plot, as ratios to the capacity.
const LOADS: [f64; 10] = [0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4];

/// Compare the daemon's decisions with plain routing policies: simulates engines with the same
/// arrivals for every policy.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    /// profile: kovacsret or trin (default: both)
    #[argh(option)]
    profile: Option<String>,

    /// simulated period of arrivals in seconds (default 120)
    #[argh(option, default = "120")]
    seconds: u64,

    /// number of seeds; each is simulated separately (default 3)
    #[argh(option, default = "3")]
    seeds: u64,

    /// output format: table or json (default table)
    #[argh(option, default = "String::from(\"table\")")]
    format: String,

    /// SVG file to which a plot of goodput and wasted prefill over offered load is written
    #[argh(option)]
    plot: Option<PathBuf>,
}

impl BenchCommand {
    /// Simulates every scenario under every policy and prints the scores.
    ///
    /// # Errors
    ///
    /// Fails if the profile is unknown or the plot cannot be written.
    pub fn run(self) -> Result<(), CommandError> {
        let length = Duration::from_secs(self.seconds);
        let profiles = self.profiles()?.into_iter();
        let plans: Vec<BenchPlan> = profiles
            .map(|profile| BenchPlan::new(profile, length, self.seeds))
            .collect();
        let scores = measure(&plans, &Scenario::all());
        if self.format == "json" {
            let text = serde_json::to_string_pretty(&scores)
                .map_err(|error| CommandError::failed(error.to_string()))?;
            println!("{text}");
        } else {
            print_table(&plans, &scores);
        }
        if let Some(file) = &self.plot {
            let loads = LOADS.map(|load| Scenario::steady("sweep", load));
            draw(file, &measure(&plans, &loads))?;
        }
        Ok(())
    }

    fn profiles(&self) -> Result<Vec<BenchProfile>, CommandError> {
        let Some(name) = &self.profile else {
            return Ok(vec![KOVACSRET, TRIN]);
        };
        let found = BenchProfile::find(name);
        found.map(|profile| vec![profile]).ok_or_else(|| {
            let message = format!("unknown profile `{name}`; use kovacsret or trin");
            CommandError::with_status(ExitStatus::Usage, message)
        })
    }
}

/// Simulates every scenario of every plan under every policy.
fn measure(plans: &[BenchPlan], scenarios: &[Scenario]) -> Vec<BenchScore> {
    let mut scores = Vec::new();
    for plan in plans {
        for scenario in scenarios {
            for policy in PolicyKind::ALL {
                scores.push(scenario.run(plan, policy));
            }
        }
    }
    scores
}

fn print_table(plans: &[BenchPlan], scores: &[BenchScore]) {
    for plan in plans {
        println!(
            "{}: capacity {:.2} requests/s",
            plan.profile.name, plan.capacity
        );
    }
    println!(
        "{:<10} {:<15} {:<13} {:>5} {:>8} {:>8} {:>6} {:>9} {:>7} {:>9} {:>9}",
        "profile",
        "scenario",
        "policy",
        "load",
        "offered",
        "goodput",
        "met %",
        "answered%",
        "waste %",
        "first p95",
        "token p95",
    );
    for score in scores {
        println!(
            "{:<10} {:<15} {:<13} {:>5.2} {:>8.2} {:>8.2} {:>6.1} {:>9.1} {:>7.2} {:>6.0} ms {:>6.1} ms",
            score.profile,
            score.scenario,
            score.policy,
            score.load,
            score.offered,
            score.goodput,
            score.met,
            score.answered,
            score.wasted,
            score.first_ms,
            score.token_ms,
        );
    }
}
