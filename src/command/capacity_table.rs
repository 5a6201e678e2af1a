use {
    super::{CommandError, capacity_run::CapacityPoint},
    crate::fake::{CapacityFigures, CapacitySize, Slope},
    argh::FromArgs,
    std::{fs, path::PathBuf},
};

/// Print the measured fleet sizes, and their linear fits, from the output lines of `capacity run`.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "table")]
pub struct CapacityTable {
    /// file with the JSON lines
    #[argh(positional)]
    file: PathBuf,
}

/// A series of runs in which one quantity varies.
struct Series {
    /// Name of the series, as given to `capacity run`.
    name: &'static str,
    /// Unit of the quantity, in the singular.
    unit: &'static str,
    /// Returns the quantity of a fleet size.
    value: fn(&CapacitySize) -> f64,
    /// Quantity for which the system is designed.
    target: f64,
}

/// Series for which a table is printed, with the design targets.
const SERIES: [Series; 5] = [
    Series {
        name: "daemons",
        unit: "daemon",
        value: |size| size.daemons as f64,
        target: 740.0,
    },
    Series {
        name: "zone",
        unit: "daemon of the zone",
        value: |size| size.daemons as f64 / size.zones as f64,
        target: 44.0,
    },
    Series {
        name: "endpoints",
        unit: "endpoint",
        value: |size| size.endpoints as f64,
        target: 11_000.0,
    },
    Series {
        name: "changes",
        unit: "change a second",
        value: |size| size.changes,
        target: 5_300.0 / 86_400.0,
    },
    Series {
        name: "rules",
        unit: "rule",
        value: |size| (size.branches * size.rules) as f64,
        target: 4_000.0,
    },
];

/// Name of a measured resource, with its unit, and a function that returns its value.
type Measure = (&'static str, fn(&CapacityFigures) -> f64);

/// Measured resources, one table row each.
const MEASURES: [Measure; 5] = [
    ("bytes/s", |f| f.bytes),
    ("calls/s", |f| f.calls),
    ("processor ms/s", |f| f.processor),
    ("memory kB", |f| f.memory),
    ("platform calls/s, all daemons", |f| f.platform),
];

impl CapacityTable {
    /// Reads the lines and prints the tables.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a line cannot be parsed.
    pub fn run(self) -> Result<(), CommandError> {
        let text = fs::read_to_string(&self.file).map_err(|source| CommandError::File {
            path: self.file.clone(),
            source,
        })?;
        let lines = text.lines().filter(|line| !line.is_empty());
        let points: Vec<CapacityPoint> = lines
            .map(serde_json::from_str)
            .collect::<Result<_, _>>()
            .map_err(|e| CommandError::failed(format!("{}: {e}", self.file.display())))?;
        print_points(&points);
        for series in &SERIES {
            series.print(&points);
        }
        Ok(())
    }
}

fn print_points(points: &[CapacityPoint]) {
    println!(
        "| series | daemons | zones | endpoints | rules | changes/s | bytes/s | calls/s | \
         processor ms/s | memory kB | platform calls/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for CapacityPoint {
        series,
        size,
        figures,
        ..
    } in points
    {
        println!(
            "| {series} | {} | {} | {} | {} | {} | {:.0} | {:.2} | {:.2} | {:.0} | {:.2} |",
            size.daemons,
            size.zones,
            size.endpoints,
            size.branches * size.rules,
            size.changes,
            figures.bytes,
            figures.calls,
            figures.processor,
            figures.memory,
            figures.platform,
        );
    }
}

impl Series {
    fn print(&self, points: &[CapacityPoint]) {
        let members: Vec<_> = points.iter().filter(|p| p.series == self.name).collect();
        if members.len() < 3 {
            return;
        }
        println!(
            "\n| by {} | base | slope | fit | at {:.3} |",
            self.unit, self.target
        );
        println!("|---|---|---|---|---|");
        for (name, measure) in MEASURES {
            let line: Vec<_> = members
                .iter()
                .map(|p| ((self.value)(&p.size), measure(&p.figures)))
                .collect();
            if let Some(fit) = Slope::fit(&line) {
                println!(
                    "| {name} | {:.3} | {:.5} | {:.2} | {:.1} |",
                    fit.base,
                    fit.slope,
                    fit.fit,
                    fit.at(self.target),
                );
            }
        }
    }
}
