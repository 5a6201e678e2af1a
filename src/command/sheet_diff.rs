use {
    super::{CommandError, Format, OperatorClient, print_json, table},
    crate::decide::BranchDiff,
    argh::FromArgs,
    std::path::PathBuf,
};

/// Show the differences between two revisions of the sheet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct SheetDiff {
    /// earlier revision
    #[argh(option)]
    from: u64,
    /// later revision
    #[argh(option)]
    to: u64,
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

impl SheetDiff {
    /// Requests the differences from the daemon and prints them.
    ///
    /// # Errors
    ///
    /// Fails if there is no key, or the daemon is unreachable or refuses the request.
    pub async fn run(self) -> Result<(), CommandError> {
        let client = OperatorClient::new(self.daemon, self.settings.as_deref()).await?;
        let path = format!("/v1/sheet/diff?from={}&to={}", self.from, self.to);
        let branches = client.get::<Vec<BranchDiff>>(&path).await?;
        if self.format == Format::Json {
            return print_json(&branches);
        }
        let rows = branches.iter().flat_map(rows).collect::<Vec<_>>();
        let head = ["BRANCH", "KIND", "COLUMN", "FROM", "TO"];
        print!("{}", table(head, &rows));
        Ok(())
    }
}

/// Table rows of the differences of one branch.
fn rows(diff: &BranchDiff) -> Vec<[String; 5]> {
    let row = |kind: &str, column: &str, from: &str, to: &str| {
        [&*diff.branch, kind, column, from, to].map(str::to_owned)
    };
    let added = diff.added.iter().map(|kind| row(kind, "", "", "added"));
    let removed = diff.removed.iter().map(|kind| row(kind, "", "removed", ""));
    let changed = diff.changed.iter().flat_map(|changed| {
        let fields = changed.fields.iter();
        fields.map(|field| row(&changed.kind, &field.column, &field.from, &field.to))
    });
    added.chain(removed).chain(changed).collect()
}
