use {
    super::{CommandError, ExitStatus, Format, print_json, table},
    crate::emulator::{ReplayReport, Replayer, Trace},
    argh::FromArgs,
    std::{fs, path::PathBuf},
};

/// Replay recorded traces on an emulated site and check the invariants and expected outcomes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayCommand {
    /// trace files, see docs/TRACES.md
    #[argh(positional)]
    traces: Vec<PathBuf>,

    /// router: `ours`, `random` or `least-loaded`; may be given several times; only `ours` is
    /// checked (default ours)
    #[argh(option)]
    router: Vec<Replayer>,

    /// output format: `table`, or `json` with one line per replay (default table)
    #[argh(option, default = "Format::Table")]
    format: Format,
}

impl ReplayCommand {
    /// Replays every trace through every router and prints the results.
    ///
    /// # Errors
    ///
    /// Fails if no trace is given or one cannot be read, a replay fails, or lentillead broke an
    /// invariant or missed an expected outcome.
    pub async fn run(self) -> Result<(), CommandError> {
        if self.traces.is_empty() {
            let message = "no trace given; give at least one trace file";
            return Err(CommandError::with_status(ExitStatus::Usage, message));
        }
        let routers = match self.router.as_slice() {
            [] => &[Replayer::Ours],
            routers => routers,
        };
        let mut reports = Vec::new();
        for path in &self.traces {
            let trace = read(path)?;
            for router in routers {
                let report = router.play(&trace).await;
                reports.push(report.map_err(|error| CommandError::failed(error.to_string()))?);
            }
        }
        self.print(&reports)?;
        check(&reports)
    }

    fn print(&self, reports: &[ReplayReport]) -> Result<(), CommandError> {
        if self.format == Format::Json {
            return reports.iter().try_for_each(print_json);
        }
        print!("{}", rows(reports));
        for report in reports {
            println!("\n{}, {}:", report.trace, report.router);
            println!("{}", details(report));
        }
        Ok(())
    }
}

fn read(path: &PathBuf) -> Result<Trace, CommandError> {
    let text = fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.clone(),
        source,
    })?;
    Trace::read(&text).map_err(|error| {
        let message = format!("{}: {error}", path.display());
        CommandError::with_status(ExitStatus::Usage, message)
    })
}

/// Formats one table row per report; `ratio` is the goodput relative to that of the first router
/// with the same trace.
fn rows(reports: &[ReplayReport]) -> String {
    let percent = |share: f64| format!("{:.1}", share * 100.0);
    let rows: Vec<_> = reports
        .iter()
        .map(|report| {
            let first = reports.iter().find(|other| other.trace == report.trace);
            let base = first.map_or(0.0, |first| first.goodput);
            [
                report.trace.clone(),
                report.router.to_owned(),
                format!("{:.2}", report.goodput),
                format!("{:.2}", report.goodput / base.max(f64::MIN_POSITIVE)),
                percent(report.met),
                percent(report.answered),
                format!("{:.2}", report.wasted * 100.0),
                format!("{:.0}", report.first_token_ms.p95),
                format!("{:.1}", report.per_token_ms.p95),
            ]
        })
        .collect();
    let head = [
        "trace",
        "router",
        "goodput/s",
        "ratio",
        "met %",
        "answered %",
        "wasted %",
        "first p95 ms",
        "token p95 ms",
    ];
    table(head, &rows)
}

/// Formats how the requests ended, the counts of broken invariants and the missed outcomes.
fn details(report: &ReplayReport) -> String {
    let verdict = &report.verdict;
    let refused = verdict.refused.iter();
    let refused: Vec<_> = refused.map(|(reason, n)| format!("{reason} {n}")).collect();
    let missed = report.missed.iter();
    let missed: Vec<_> = missed
        .map(|one| format!("{} {:.3}, stated {:.3}", one.outcome, one.seen, one.bound))
        .collect();
    [
        format!(
            "  requests {}, answered {}, broken off {}, left {}, refused: [{}]",
            verdict.requests,
            verdict.answered,
            verdict.broken,
            verdict.left,
            refused.join(", ")
        ),
        format!(
            "  lost {}, wrong {}, answered twice {}, ran twice {}, ran unsaid {}, memory held {}",
            verdict.lost,
            verdict.wrong,
            verdict.answered_twice,
            verdict.ran_twice,
            verdict.ran_unsaid,
            verdict.memory_held_after
        ),
        format!("  missed outcomes: [{}]", missed.join("; ")),
    ]
    .join("\n")
}

/// Fails if lentillead, rather than a router for comparison, broke an invariant or missed an
/// expected outcome.
fn check(reports: &[ReplayReport]) -> Result<(), CommandError> {
    let ours = reports
        .iter()
        .filter(|report| report.router == Replayer::Ours.name());
    let faults: Vec<_> = ours
        .filter(|report| report.verdict.is_broken() || !report.missed.is_empty())
        .map(|report| {
            let broken = if report.verdict.is_broken() {
                "an invariant was broken"
            } else {
                "no invariant was broken"
            };
            let missed: Vec<_> = report.missed.iter().map(|one| one.outcome).collect();
            format!(
                "{}: {broken}; missed: [{}]",
                report.trace,
                missed.join(", ")
            )
        })
        .collect();
    if faults.is_empty() {
        return Ok(());
    }
    let message = faults.join("\n");
    Err(CommandError::with_status(ExitStatus::Invariant, message))
}
