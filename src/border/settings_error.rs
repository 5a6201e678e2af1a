use {
    std::{
        fmt::{self, Display, Formatter},
        io,
        path::PathBuf,
    },
    thiserror::Error,
};

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}; check the path and its permissions", path = path.display())]
    File {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The text is not YAML.
    #[error("not YAML: {0}; correct the text at that place")]
    Syntax(String),
    /// Every fault of the settings.
    #[error("{} faults in the settings{}", .0.len(), lines(.0))]
    Faults(Vec<SettingsFault>),
}

/// One fault of the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsFault {
    /// Path from the top, as in `branches[2].key`.
    pub path: String,
    /// Value found; keys are never shown.
    pub found: String,
    /// What is allowed.
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

fn lines(faults: &[SettingsFault]) -> String {
    faults.iter().fold(String::new(), |lines, fault| {
        lines + "\n  " + &fault.to_string()
    })
}
