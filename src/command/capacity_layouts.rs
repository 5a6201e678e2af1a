use {super::CommandError, crate::fake::LayoutPoint, argh::FromArgs};

/// Numbers of endpoints to measure, in elevenths of the greatest number.
const SHARES: [usize; 3] = [1, 4, 11];

/// Numbers of model and adapter pairs that each endpoint serves.
const SERVICES: [usize; 4] = [1, 2, 4, 8];

/// Compare two layouts of the host list: by host, and by endpoint, model and adapter.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "layouts")]
pub struct CapacityLayouts {
    /// greatest number of endpoints (default 11000)
    #[argh(option, default = "11_000")]
    endpoints: usize,
}

impl CapacityLayouts {
    /// Measures every size and prints a table.
    ///
    /// # Errors
    ///
    /// Fails if a host list cannot be encoded or parsed.
    pub fn run(self) -> Result<(), CommandError> {
        println!("| endpoints | services of each | layout | entries | bytes | parse ms |");
        println!("|---|---|---|---|---|---|");
        for share in SHARES {
            let endpoints = self.endpoints * share / 11;
            for services in SERVICES {
                let point = LayoutPoint::measure(endpoints, services)?;
                let layouts = [("host", point.by_host), ("service", point.by_service)];
                for (layout, cost) in layouts {
                    println!(
                        "| {endpoints} | {services} | {layout} | {} | {} | {:.2} |",
                        cost.entries, cost.bytes, cost.parse,
                    );
                }
            }
        }
        let point = LayoutPoint::measure(1, 8)?;
        let bytes = point.by_host.description;
        println!("\nDescription fetched from an endpoint of 8 services: {bytes} bytes.");
        Ok(())
    }
}
