use {
    super::CommandError,
    crate::fake::{CapacityFleet, CapacitySize},
    argh::FromArgs,
    std::time::Duration,
};

/// Kill, restart, pause and cut off daemons by a seeded schedule while the sheet keeps changing.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct CapacityFaults {
    /// daemons (100)
    #[argh(option, default = "100")]
    daemons: usize,
    /// availability zones (4)
    #[argh(option, default = "4")]
    zones: usize,
    /// changes of the sheet a second (6.13, which is 100 times 5,300 a day)
    #[argh(option, default = "6.13")]
    changes: f64,
    /// seconds of faults (90)
    #[argh(option, default = "90")]
    seconds: u64,
    /// seed of the schedule (1)
    #[argh(option, default = "1")]
    seed: u64,
}

impl CapacityFaults {
    /// Runs the schedule and prints what was seen.
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
        let report = fleet.faults(self.seed, Duration::from_secs(self.seconds));
        println!("{}", report.await?);
        Ok(())
    }
}
