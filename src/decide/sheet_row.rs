use std::fmt::{self, Display, Formatter};

/// Columns of the sheet, in the order in which they are written.
pub const COLUMNS: [&str; 12] = [
    "branch",
    "kind",
    "pools",
    "priority",
    "model",
    "version",
    "adapter",
    "repeat",
    "first_token_ms",
    "per_token_ms",
    "borrow_pools",
    "borrow_hours",
];

/// One row of a sheet that is not checked yet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SheetRow {
    /// Number of its line in the file; the header is line 1.
    pub line: u64,
    /// Cells in the order of `COLUMNS`, without surrounding blanks.
    pub cells: [String; COLUMNS.len()],
}

impl SheetRow {
    /// Returns the text in `column`, empty if there is no such column.
    pub fn get(&self, column: &str) -> &str {
        COLUMNS
            .iter()
            .position(|name| *name == column)
            .map_or("", |i| self.cells[i].as_str())
    }
}

/// One fault of a sheet, as reported to the operator.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SheetFault {
    /// Number of the line in the file, where the header is line 1; 0 for the file as a whole.
    pub row: u64,
    /// Name of the column; empty for the row as a whole.
    pub column: String,
    /// Value that was found.
    pub value: String,
    /// What to do about it.
    pub remedy: String,
}

impl SheetFault {
    /// Creates a fault of `column` in line `row`; 0 and an empty column stand for the file and the row
    /// as a whole.
    pub fn new<V, R>(row: u64, column: &str, value: V, remedy: R) -> Self
    where
        V: Into<String>,
        R: Into<String>,
    {
        Self {
            row,
            column: column.to_owned(),
            value: value.into(),
            remedy: remedy.into(),
        }
    }
}

impl Display for SheetFault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            row,
            column,
            value,
            remedy,
        } = self;
        let comma = if column.is_empty() { "" } else { ", " };
        write!(f, "row {row}{comma}{column}: found {value:?}; {remedy}")
    }
}
