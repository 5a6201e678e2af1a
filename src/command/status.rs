use {
    super::{CommandError, Format, OperatorClient, print_json, table},
    crate::board::{FleetStatus, PoolStatus, Status},
    argh::FromArgs,
    std::{collections::BTreeMap, path::PathBuf},
};

/// Show the status of the fleet as seen from one daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// address of a daemon's operator listener, ip:port (default 127.0.0.1:7101)
    #[argh(option)]
    daemon: Option<String>,
    /// settings file with the operators' key
    #[argh(option)]
    settings: Option<PathBuf>,
    /// output format: table or json (default table)
    #[argh(option, default = "Format::Table")]
    format: Format,
}

impl StatusCommand {
    /// Requests the status from the daemon and prints it.
    ///
    /// # Errors
    ///
    /// Fails if there is no key, or the daemon is unreachable or refuses the request.
    pub async fn run(self) -> Result<(), CommandError> {
        let client = OperatorClient::new(self.daemon, self.settings.as_deref()).await?;
        let fleet = client.get::<FleetStatus>("/v1/status").await?;
        if self.format == Format::Json {
            return print_json(&fleet);
        }
        print!("{}\n{}", daemons(&fleet), pools(&fleet));
        print_suspects(&fleet);
        Ok(())
    }
}

/// Table of the daemons, with those that did not respond last.
fn daemons(fleet: &FleetStatus) -> String {
    let answered = fleet.daemons.iter().map(daemon);
    let silent = fleet.silent.iter().map(|name| {
        let row = [name.as_str(), "", "", "no answer", "", "", ""];
        row.map(str::to_owned)
    });
    let rows = answered.chain(silent).collect::<Vec<_>>();
    let head = [
        "DAEMON", "ZONE", "REVISION", "STATE", "STORE", "OWNED", "MEMBERS",
    ];
    table(head, &rows)
}

/// Table row of a daemon that responded.
fn daemon(status: &Status) -> [String; 7] {
    let state = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let store = if status.store { "up" } else { "down" };
    [
        status.host.clone(),
        status.zone.clone(),
        status.revision.to_string(),
        state.to_owned(),
        store.to_owned(),
        status.owned.to_string(),
        status.members.len().to_string(),
    ]
}

/// Table of the pools, with the counts of all daemons combined.
fn pools(fleet: &FleetStatus) -> String {
    let mut sums = BTreeMap::<&str, PoolStatus>::new();
    for pool in fleet.daemons.iter().flat_map(|daemon| &daemon.pools) {
        match sums.get_mut(&*pool.name) {
            Some(sum) => add(sum, pool),
            None => {
                sums.insert(&pool.name, pool.clone());
            }
        }
    }
    let rows = sums.into_values().map(|pool| {
        let counts = [
            pool.endpoints,
            pool.leaving,
            pool.ejected,
            pool.owned,
            pool.running,
            pool.waiting,
            pool.granted,
        ];
        let [
            endpoints,
            leaving,
            ejected,
            owned,
            running,
            waiting,
            granted,
        ] = counts.map(|count| count.to_string());
        [
            pool.name, endpoints, leaving, ejected, owned, running, waiting, granted,
        ]
    });
    let head = [
        "POOL",
        "ENDPOINTS",
        "LEAVING",
        "EJECTED",
        "OWNED",
        "RUNNING",
        "WAITING",
        "PIECES",
    ];
    table(head, &rows.collect::<Vec<_>>())
}

/// Combines the counts of two daemons: adds those of the endpoints that each owns, and takes the
/// greater of those that each makes over all endpoints.
fn add(sum: &mut PoolStatus, pool: &PoolStatus) {
    sum.endpoints = sum.endpoints.max(pool.endpoints);
    sum.leaving = sum.leaving.max(pool.leaving);
    sum.ejected = sum.ejected.max(pool.ejected);
    sum.owned += pool.owned;
    sum.running += pool.running;
    sum.waiting += pool.waiting;
    sum.granted += pool.granted;
}

/// Prints a table of the crash suspects, if there are any.
fn print_suspects(fleet: &FleetStatus) {
    let suspects = fleet.daemons.iter().flat_map(|daemon| &daemon.suspects);
    let suspects = suspects.map(|suspect| (&suspect.print, suspect));
    let rows = suspects
        .collect::<BTreeMap<_, _>>()
        .into_values()
        .map(|suspect| {
            let state = if suspect.refused {
                "refused"
            } else {
                "watched"
            };
            let endpoints = suspect.endpoints.join(" ");
            [suspect.print.clone(), state.to_owned(), endpoints]
        });
    let rows = rows.collect::<Vec<_>>();
    if !rows.is_empty() {
        print!("\n{}", table(["SUSPECT", "STATE", "CRASHED"], &rows));
    }
}
