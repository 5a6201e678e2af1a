use {
    std::{
        fmt::{self, Display, Formatter},
        io,
        path::PathBuf,
    },
    thiserror::Error,
};

/// The error of reading settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}; check the path and its permissions", path = path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of reading it, also for text that is not UTF-8.
        source: io::Error,
    },
    /// The text is not valid YAML.
    #[error("not valid YAML: {0}; correct the text at that place")]
    Syntax(String),
    /// The settings have faults; all of them are listed.
    #[error("{} faults in the settings{}", .0.len(), lines(.0))]
    Faults(Vec<SettingsFault>),
}

/// One fault of the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsFault {
    /// Path of the setting from the top level, such as `branches[2].key`.
    pub path: String,
    /// Description of the value found; a secret is never included.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl Display for SettingsFault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            path,
            found,
            allowed,
        } = self;
        write!(f, "{path}: found {found}; allowed: {allowed}")
    }
}

/// Formats each fault as an indented line of its own.
fn lines(faults: &[SettingsFault]) -> String {
    faults.iter().fold(String::new(), |lines, fault| {
        lines + "\n  " + &fault.to_string()
    })
}
