use {super::CommandError, serde::Serialize, std::str::FromStr};

/// Output format of a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// A table for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(format!("unknown format `{other}`; use table or json")),
        }
    }
}

/// Prints `value` as JSON on one line.
///
/// # Errors
///
/// Fails if `value` cannot be encoded.
pub fn print_json<T>(value: &T) -> Result<(), CommandError>
where
    T: Serialize,
{
    let text = serde_json::to_string(value).map_err(|error| {
        CommandError::failed(format!("cannot encode the output as JSON: {error}"))
    })?;
    println!("{text}");
    Ok(())
}

/// Formats rows as a table with the header `head`: columns are left-aligned and two spaces apart.
pub fn table<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let head = head.map(str::to_owned);
    let lines = || [&head].into_iter().chain(rows);
    let widths = std::array::from_fn::<_, N, _>(|i| {
        let widths = lines().map(|row| row[i].chars().count());
        widths.max().unwrap_or_default()
    });
    let mut text = String::new();
    for row in lines() {
        let cells = row.iter().zip(widths);
        let cells = cells.map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
