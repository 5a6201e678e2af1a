use {
    super::{CommandError, ExitStatus, Format, print_json},
    crate::emulator::{LoadReport, Profile, Site, SiteOptions, Workload, run_load},
    argh::FromArgs,
    std::{
        io::{IsTerminal, Write, stderr},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::interval,
};

/// Interval at which the progress on a terminal is updated.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Run daemons with emulated engines, services and platform in one process and check the
/// invariants.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
    /// profile of sheet and load: `kovacsreti` or `trin-cymru` (default kovacsreti)
    #[argh(option, default = "Profile::Kovacsreti")]
    profile: Profile,
    /// number of requests to send (default 200)
    #[argh(option, default = "200")]
    requests: u32,
    /// requests per second (default: as many as the profile's endpoints can serve)
    #[argh(option)]
    rate: Option<f64>,
    /// number of daemons to start (default 3)
    #[argh(option, default = "3")]
    daemons: usize,
    /// seed of the load and the emulated systems (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// share of callers that disconnect early, from 0 to 1 (default 0.02)
    #[argh(option, default = "0.02")]
    leaving: f64,
    /// output format: `table` or `json` (default table)
    #[argh(option, default = "Format::Table")]
    format: Format,
}

impl DemoCommand {
    /// Starts the emulated site, sends the load and prints the report.
    ///
    /// # Errors
    ///
    /// Fails if an option is out of range, the site cannot be started or an invariant was broken.
    pub async fn run(self) -> Result<(), CommandError> {
        self.check()?;
        let options = SiteOptions {
            daemons: self.daemons,
            seed: self.seed,
            ..SiteOptions::new(self.profile)
        };
        let site = Site::start(options)
            .await
            .map_err(|e| CommandError::failed(e.to_string()))?;
        let done = Arc::new(AtomicU32::new(0));
        let progress = tokio::spawn(show_progress(Arc::clone(&done), self.requests));
        let report = run_load(&site, self.load(), done).await;
        progress.abort();
        self.print(&report)?;
        if report.verdict.is_broken() {
            let message = "at least one invariant was broken; see the report above";
            return Err(CommandError::with_status(ExitStatus::Invariant, message));
        }
        Ok(())
    }

    fn check(&self) -> Result<(), CommandError> {
        let usage = |message: &str| Err(CommandError::with_status(ExitStatus::Usage, message));
        if self.requests == 0 || self.daemons == 0 {
            return usage("--requests and --daemons must be at least 1");
        }
        let rate = self.rate();
        if !(rate.is_finite() && rate > 0.0) {
            return usage("--rate must be above 0 requests per second");
        }
        if !(0.0..=1.0).contains(&self.leaving) {
            return usage("--leaving must be from 0 to 1");
        }
        Ok(())
    }

    fn rate(&self) -> f64 {
        self.rate.unwrap_or_else(|| self.profile.rate())
    }

    fn load(&self) -> Workload {
        Workload {
            profile: self.profile,
            seed: self.seed,
            requests: self.requests,
            rate: self.rate(),
            disconnect_ratio: self.leaving,
        }
    }

    fn print(&self, report: &LoadReport) -> Result<(), CommandError> {
        if self.format == Format::Json {
            return print_json(report);
        }
        println!("{}", report.table());
        Ok(())
    }
}

async fn show_progress(done: Arc<AtomicU32>, requests: u32) {
    if !stderr().is_terminal() {
        return;
    }
    let mut ticks = interval(PROGRESS_INTERVAL);
    loop {
        ticks.tick().await;
        let mut out = stderr();
        let ended = done.load(Ordering::Relaxed);
        if write!(out, "\r{ended}/{requests} requests")
            .and_then(|()| out.flush())
            .is_err()
        {
            return;
        }
    }
}
