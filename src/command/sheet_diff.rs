use {
    super::{CommandError, Format, OperatorClient, print_json, table},
    crate::decide::BranchDiff,
    argh::FromArgs,
    std::path::PathBuf,
};

/// Show what changed between two revisions of the sheet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct SheetDiff {
    /// earlier revision
    #[argh(option)]
    from: u64,
    /// later revision
    #[argh(option)]
    to: u64,
    /// operator listener of a daemon, ip:port
    #[argh(option)]
    daemon: Option<String>,
    /// settings that hold the operators' key
    #[argh(option)]
    settings: Option<PathBuf>,
    /// table or json
    #[argh(option, default = "Format::Table")]
    format: Format,
}

impl SheetDiff {
    /// Asks the daemon and prints the difference.
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
