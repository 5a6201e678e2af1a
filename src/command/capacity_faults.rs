use {
    super::CommandError,
    crate::fake::{CapacityFleet, CapacitySize},
    argh::FromArgs,
    std::time::Duration,
};

/// Kill, restart, pause and isolate daemons by a seeded schedule while the sheet keeps changing.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct CapacityFaults {
    /// number of daemons (default 100)
    #[argh(option, default = "100")]
    daemons: usize,
    /// number of availability zones (default 4)
    #[argh(option, default = "4")]
    zones: usize,
    /// changes of the sheet per second (default 6.13, which is 100 times 5,300 per day)
    #[argh(option, default = "6.13")]
    changes: f64,
    /// duration of the faults in seconds (default 90)
    #[argh(option, default = "90")]
    seconds: u64,
    /// seed of the schedule (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

impl CapacityFaults {
    /// Runs the schedule and prints a report.
    ///
    /// # Errors
    ///
    /// Fails if the daemons cannot be started or do not all join in time.
    pub async fn run(self) -> Result<(), CommandError> {
        let size = CapacitySize {
            daemons: self.daemons,
            zones: self.zones,
            endpoints: self.daemons * 15,
            branches: 200,
            rules: 10,
            changes: self.changes,
        };
        let mut fleet = CapacityFleet::start(size).await?;
        fleet.join().await?;
        let report = fleet.run_faults(self.seed, Duration::from_secs(self.seconds));
        println!("{}", report.await?);
        Ok(())
    }
}
