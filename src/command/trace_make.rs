use {
    super::{CommandError, ExitStatus},
    crate::emulator::{Profile, Scenario, TraceMaker},
    argh::FromArgs,
};

/// Greatest offered load, as a share of the capacity.
const MAX_LOAD: f64 = 3.0;

/// Greatest time of arrivals in seconds.
const MAX_SECONDS: f64 = 600.0;

/// Write a seeded trace of one scenario to standard output.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "make")]
pub struct TraceMake {
    /// scenario: steady, morning-burst, evening, long-histories, hot-prefix, failing-endpoint or
    /// stalled-link
    #[argh(option)]
    scenario: Scenario,

    /// profile: `kovacsreti` or `trin-cymru`
    #[argh(option)]
    profile: Profile,

    /// seed, 1 if absent
    #[argh(option, default = "1")]
    seed: u64,

    /// offered load as a share of what the pools can serve, the scenario's own if absent
    #[argh(option)]
    load: Option<f64>,

    /// seconds of arrivals, 10 if absent
    #[argh(option, default = "10.0")]
    seconds: f64,

    /// daemons, 3 if absent
    #[argh(option, default = "3")]
    daemons: usize,
}

impl TraceMake {
    /// Draws the trace and prints it.
    pub fn run(self) -> Result<(), CommandError> {
        let load = self.load.unwrap_or_else(|| self.scenario.load());
        if !(load > 0.0 && load <= MAX_LOAD && self.seconds > 0.0 && self.seconds <= MAX_SECONDS) {
            let message = format!(
                "--load must be above 0 and up to {MAX_LOAD}, --seconds up to {MAX_SECONDS}"
            );
            return Err(CommandError::with_status(ExitStatus::Usage, message));
        }
        let maker = TraceMaker {
            scenario: self.scenario,
            profile: self.profile,
            seed: self.seed,
            load,
            seconds: self.seconds,
            daemons: self.daemons,
        };
        let mut trace = maker.make();
        if self.load.is_some() {
            trace.header.name = format!("{}-{:.0}", trace.header.name, load * 100.0);
        }
        let text = trace.write();
        print!(
            "{}",
            text.map_err(|error| CommandError::failed(error.to_string()))?
        );
        Ok(())
    }
}
