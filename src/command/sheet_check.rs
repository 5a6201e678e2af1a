use {
    super::{CommandError, ExitStatus},
    crate::{
        border::{read_settings, read_sheet},
        decide::{SheetFault, by_branch, sheet_check},
    },
    argh::FromArgs,
    std::{
        collections::BTreeSet,
        path::{Path, PathBuf},
    },
};

/// Check a sheet without submitting it; all faults are reported together.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SheetCheck {
    /// sheet, a CSV file
    #[argh(positional)]
    file: PathBuf,
    /// settings file; the sheet may name only its branches (default: any branch)
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl SheetCheck {
    /// Reads and checks the file and prints a summary.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or has faults.
    pub async fn run(self) -> Result<(), CommandError> {
        let bytes = read_file(&self.file).await?;
        let branches = match &self.settings {
            Some(path) => {
                let branches = read_settings(path).await?.branches;
                let names = branches.into_iter().map(|branch| branch.name);
                Some(names.collect::<BTreeSet<_>>())
            }
            None => None,
        };
        let rules = read_sheet(&bytes)
            .and_then(|rows| sheet_check(&rows, branches.as_ref()))
            .map_err(|faults| rejected(&faults))?;
        let count = rules.len();
        let branches = by_branch(rules).len();
        let file = self.file.display();
        println!("{file}: good; {count} rules of {branches} branches");
        Ok(())
    }
}

/// Reads a file into memory.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub(super) async fn read_file(path: &Path) -> Result<Vec<u8>, CommandError> {
    tokio::fs::read(path)
        .await
        .map_err(|source| CommandError::File {
            path: path.to_owned(),
            source,
        })
}

fn rejected(faults: &[SheetFault]) -> CommandError {
    let mut message = format!("{} faults in the sheet", faults.len());
    for fault in faults {
        message.push_str("\n  ");
        message.push_str(&fault.to_string());
    }
    CommandError::with_status(ExitStatus::Sheet, message)
}
