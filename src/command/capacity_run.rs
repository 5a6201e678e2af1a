use {
    super::CommandError,
    crate::fake::{CapacityFigures, CapacityFleet, CapacitySize},
    argh::FromArgs,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Measure one fleet size and print a line of JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct CapacityRun {
    /// number of daemons (default 25)
    #[argh(option, default = "25")]
    daemons: usize,
    /// number of availability zones (default 2)
    #[argh(option, default = "2")]
    zones: usize,
    /// number of endpoints of the fleet (default 15 per daemon)
    #[argh(option)]
    endpoints: Option<usize>,
    /// number of branches in the sheet (default 200)
    #[argh(option, default = "200")]
    branches: usize,
    /// rules per branch (default 10)
    #[argh(option, default = "10")]
    rules: usize,
    /// changes of the sheet per second (default 0)
    #[argh(option, default = "0.0")]
    changes: f64,
    /// seconds to wait before the measurement (default 40)
    #[argh(option, default = "40")]
    settle: u64,
    /// duration of the measurement in seconds (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// name of the series that the run belongs to (default daemons)
    #[argh(option, default = "String::from(\"daemons\")")]
    series: String,
}

/// Measurement of one fleet size, a line of the output.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct CapacityPoint {
    /// Name of the series.
    pub(super) series: String,
    /// Fleet size.
    pub(super) size: CapacitySize,
    /// Time until every daemon had joined, in seconds.
    pub(super) join: f64,
    /// Resources that the daemons used.
    pub(super) figures: CapacityFigures,
}

impl CapacityRun {
    /// Starts the daemons, measures them and prints the figures.
    ///
    /// # Errors
    ///
    /// Fails if the daemons cannot be started, do not all join in time or cannot be measured.
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
