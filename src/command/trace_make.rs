use {
    super::{CommandError, ExitStatus},
    crate::emulator::{Profile, Scenario, TraceMaker},
    argh::FromArgs,
};

/// Greatest allowed load, as a ratio to the capacity of the pools.
const MAX_LOAD_RATIO: f64 = 3.0;

/// Greatest allowed period of arrivals, in seconds.
const MAX_PERIOD_S: f64 = 600.0;

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

    /// seed of the random draws (default 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// offered load as a ratio to the capacity of the pools (default: as the scenario defines)
    #[argh(option)]
    load: Option<f64>,

    /// period of arrivals in seconds (default 10)
    #[argh(option, default = "10.0")]
    seconds: f64,

    /// number of daemons (default 3)
    #[argh(option, default = "3")]
    daemons: usize,
}

impl TraceMake {
    /// Generates the trace and prints it.
    ///
    /// # Errors
    ///
    /// Fails if `--load` or `--seconds` is out of range or the trace cannot be encoded.
    pub fn run(self) -> Result<(), CommandError> {
        let load = self.load.unwrap_or_else(|| self.scenario.load());
        if !(load > 0.0
            && load <= MAX_LOAD_RATIO
            && self.seconds > 0.0
            && self.seconds <= MAX_PERIOD_S)
        {
            let message = format!(
                "--load must be above 0 and at most {MAX_LOAD_RATIO}, \
                 --seconds above 0 and at most {MAX_PERIOD_S}"
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
