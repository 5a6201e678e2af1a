use {
    super::CapacityFigures,
    hdrhistogram::Histogram,
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// What was seen in a run with faults.
#[derive(Clone, Debug)]
pub struct FaultReport {
    /// Daemons.
    pub daemons: usize,
    /// Length of the schedule.
    pub time: Duration,
    /// Kills, planned leaves, pauses and cut-offs.
    pub faults: FaultCounts,
    /// Accepted changes of the sheet.
    pub changes: usize,
    /// Milliseconds from acceptance, or from the end of the daemon's own fault, to force.
    pub sheet: Histogram<u64>,
    /// Milliseconds until every daemon without a fault had seen a kill or leave.
    pub removal: Histogram<u64>,
    /// Milliseconds until every daemon without a fault had seen a restart.
    pub arrival: Histogram<u64>,
    /// Milliseconds for which an endpoint had no owner among the daemons without a fault.
    pub gaps: Histogram<u64>,
    /// Milliseconds for which an endpoint had two owners that both ran.
    pub doubles: Histogram<u64>,
    /// Daemons that were seen with an earlier revision than before.
    pub reverts: usize,
    /// Time from the end of all faults until all daemons agreed; `None` if they did not.
    pub settled: Option<Duration>,
    /// Use of each daemon during the schedule.
    pub figures: CapacityFigures,
}

/// Faults of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FaultCounts {
    /// Daemons that ended without a word.
    pub kills: usize,
    /// Daemons that announced their end.
    pub leaves: usize,
    /// Daemons that were paused.
    pub pauses: usize,
    /// Groups of daemons that were cut off.
    pub cuts: usize,
}

impl Display for FaultReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let FaultCounts {
            kills,
            leaves,
            pauses,
            cuts,
        } = self.faults;
        writeln!(
            f,
            "{} daemons, {} s: {kills} kills, {leaves} leaves, {pauses} pauses, {cuts} cuts, \
             {} changes of the sheet\n",
            self.daemons,
            self.time.as_secs(),
            self.changes,
        )?;
        writeln!(f, "| milliseconds | count | p50 | p95 | p99 | max |")?;
        writeln!(f, "|---|---|---|---|---|---|")?;
        row(f, "sheet in force", &self.sheet)?;
        row(f, "kill or leave seen by all", &self.removal)?;
        row(f, "restart seen by all", &self.arrival)?;
        row(f, "endpoint without an owner", &self.gaps)?;
        row(f, "endpoint with two owners", &self.doubles)?;
        writeln!(f, "\nReverts: {}", self.reverts)?;
        match self.settled {
            Some(time) => writeln!(f, "All agreed after: {:.1} s", time.as_secs_f64())?,
            None => writeln!(f, "All agreed after: never")?,
        }
        write!(
            f,
            "Each daemon: {:.0} bytes/s, {:.1} calls/s, {:.1} processor ms/s, {:.0} kB",
            self.figures.bytes, self.figures.calls, self.figures.processor, self.figures.memory,
        )
    }
}

fn row(f: &mut Formatter<'_>, name: &str, times: &Histogram<u64>) -> fmt::Result {
    writeln!(
        f,
        "| {name} | {} | {} | {} | {} | {} |",
        times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.95),
        times.value_at_quantile(0.99),
        times.max(),
    )
}
