use {
    super::CapacityFigures,
    hdrhistogram::Histogram,
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Results of a capacity run with faults.
#[derive(Clone, Debug)]
pub struct CapacityFaultReport {
    /// Number of daemons.
    pub daemons: usize,
    /// Duration of the fault schedule.
    pub time: Duration,
    /// Number of kills, announced leaves, pauses and isolated groups.
    pub faults: FaultCounts,
    /// Number of sheet changes that were accepted.
    pub changes: usize,
    /// Milliseconds until a daemon has a revision in force, counted from its acceptance or, if that
    /// is later, from the end of the daemon's own fault.
    pub sheet: Histogram<u64>,
    /// Milliseconds until every daemon without a fault had noticed a kill or leave.
    pub removal: Histogram<u64>,
    /// Milliseconds until every daemon without a fault had noticed a restart.
    pub arrival: Histogram<u64>,
    /// Milliseconds for which an endpoint had no owner among the daemons without a fault.
    pub ownerless: Histogram<u64>,
    /// Milliseconds for which an endpoint had two or more owners that were not paused.
    pub double_owners: Histogram<u64>,
    /// Number of times that a daemon had an earlier revision than at the sample before.
    pub reverts: usize,
    /// Time from the end of all faults until all daemons agreed; `None` if they did not.
    pub settled: Option<Duration>,
    /// Resource use per daemon during the schedule.
    pub figures: CapacityFigures,
}

/// Number of faults of each kind in a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FaultCounts {
    /// Daemons that ended without notice.
    pub kills: usize,
    /// Daemons that announced their end.
    pub leaves: usize,
    /// Daemons that were paused.
    pub pauses: usize,
    /// Groups of daemons that were isolated from the rest.
    pub cuts: usize,
}

impl Display for CapacityFaultReport {
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
        row(f, "endpoint without an owner", &self.ownerless)?;
        row(f, "endpoint with two owners", &self.double_owners)?;
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

/// Writes one row of the table: the quantiles of `times` in milliseconds.
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
