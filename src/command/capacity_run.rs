use {
    super::CommandError,
    crate::fake::{CapacityFigures, CapacityFleet, CapacitySize},
    argh::FromArgs,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Measure one size and print a line of JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct CapacityRun {
    /// daemons (25)
    #[argh(option, default = "25")]
    daemons: usize,
    /// availability zones (2)
    #[argh(option, default = "2")]
    zones: usize,
    /// endpoints of the whole fleet (15 for each daemon)
    #[argh(option)]
    endpoints: Option<usize>,
    /// branches of the sheet (200)
    #[argh(option, default = "200")]
    branches: usize,
    /// rules of each branch (10)
    #[argh(option, default = "10")]
    rules: usize,
    /// changes of the sheet a second (0)
    #[argh(option, default = "0.0")]
    changes: f64,
    /// seconds before the measurement (40)
    #[argh(option, default = "40")]
    settle: u64,
    /// seconds of the measurement (20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// name of the series that the run belongs to (daemons)
    #[argh(option, default = "String::from(\"daemons\")")]
    series: String,
}

/// One measured size, a line of the output.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct CapacityPoint {
    pub(super) series: String,
    pub(super) size: CapacitySize,
    pub(super) join: f64,
    pub(super) figures: CapacityFigures,
}

impl CapacityRun {
    /// Starts the daemons, measures them and prints the figures.
    pub async fn run(self) -> Result<(), CommandError> {
        let size = CapacitySize {
            daemons: self.daemons,
            zones: self.zones,
            endpoints: self.endpoints.unwrap_or(self.daemons * 15),
            branches: self.branches,
            rules: self.rules,
            changes: self.changes,
        };
        let mut fleet = CapacityFleet::start(size).await?;
        let join = fleet.join().await?;
        let settle = Duration::from_secs(self.settle);
        let figures = fleet.measure(settle, Duration::from_secs(self.seconds));
        let point = CapacityPoint {
            series: self.series,
            size,
            join: join.as_secs_f64(),
            figures: figures.await?,
        };
        let line = serde_json::to_string(&point);
        println!("{}", line.map_err(|e| CommandError::failed(e.to_string()))?);
        Ok(())
    }
}
