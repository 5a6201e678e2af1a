use std::str::FromStr;

/// How a command prints its result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFormat {
    /// A table for people.
    Table,
    /// One JSON document for programs.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(format!("`{other}` is no format; use `table` or `json`")),
        }
    }
}
