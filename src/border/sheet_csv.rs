use {
    crate::decide::{COLUMNS, SheetFault, SheetRow},
    csv::{Reader, ReaderBuilder, StringRecord, Writer},
    std::str,
};

/// Maximum size of a sheet in bytes.
pub const MAX_SHEET_BYTES: usize = 1 << 20;

/// Number of the header row, as faults report it.
const HEADER_ROW: u64 = 1;
/// Byte order mark that some spreadsheet programs write at the start of a file.
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Reads the rows of a sheet from CSV in UTF-8, with a header and the columns in any order.
///
/// Fails if the sheet exceeds `MAX_SHEET_BYTES`, is not UTF-8 or has faults in its header;
/// otherwise the error lists the faulty rows. The contents of the cells are not checked.
pub fn read_sheet(bytes: &[u8]) -> Result<Vec<SheetRow>, Vec<SheetFault>> {
    if bytes.len() > MAX_SHEET_BYTES {
        return Err(vec![too_large(bytes.len())]);
    }
    let text = str::from_utf8(bytes).map_err(|error| vec![not_utf8(bytes, error.valid_up_to())])?;
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut reader = ReaderBuilder::new()
        .flexible(true)
        .from_reader(text.as_bytes());
    let positions = read_header(&mut reader)?;
    read_rows(&mut reader, &positions)
}

/// Writes rows as CSV with a header; the cells are in the order of `COLUMNS`.
///
/// Fails if the CSV writer fails.
pub fn write_sheet<I>(rows: I) -> Result<String, csv::Error>
where
    I: IntoIterator<Item = [String; COLUMNS.len()]>,
{
    let mut writer = Writer::from_writer(Vec::new());
    writer.write_record(COLUMNS)?;
    for row in rows {
        writer.write_record(row)?;
    }
    let bytes = writer
        .into_inner()
        .map_err(|error| csv::Error::from(error.into_error()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Returns the position of each of `COLUMNS` in the header; fails if one is missing, unknown or
/// repeated.
fn read_header(reader: &mut Reader<&[u8]>) -> Result<Vec<usize>, Vec<SheetFault>> {
    let header = match reader.headers() {
        Ok(header) => header.iter().map(str::trim).collect::<Vec<_>>(),
        Err(error) => return Err(vec![unreadable(HEADER_ROW, &error)]),
    };
    let mut faults = Vec::new();
    for (i, name) in header.iter().enumerate() {
        if !COLUMNS.contains(name) {
            let remedy = format!("use only the columns {}", COLUMNS.join(", "));
            faults.push(SheetFault::new(HEADER_ROW, name, *name, remedy));
        } else if header[..i].contains(name) {
            let remedy = "keep this column once";
            faults.push(SheetFault::new(HEADER_ROW, name, *name, remedy));
        }
    }
    let mut positions = Vec::new();
    for column in COLUMNS {
        match header.iter().position(|name| *name == column) {
            Some(position) => positions.push(position),
            None => faults.push(SheetFault::new(HEADER_ROW, column, "", "add this column")),
        }
    }
    if faults.is_empty() {
        Ok(positions)
    } else {
        Err(faults)
    }
}

/// Reads all rows after the header; `positions` are those of `COLUMNS`.
fn read_rows(
    reader: &mut Reader<&[u8]>,
    positions: &[usize],
) -> Result<Vec<SheetRow>, Vec<SheetFault>> {
    let mut rows = Vec::new();
    let mut faults = Vec::new();
    for (record, i) in reader.records().zip(HEADER_ROW..) {
        match record {
            Ok(record) if record.len() == positions.len() => rows.push(row(&record, positions)),
            Ok(record) => faults.push(wrong_length(&record, positions.len())),
            Err(error) => faults.push(unreadable(i + 1, &error)),
        }
    }
    if faults.is_empty() {
        Ok(rows)
    } else {
        Err(faults)
    }
}

/// Converts a record to a row with its cells in the order of `COLUMNS`.
fn row(record: &StringRecord, positions: &[usize]) -> SheetRow {
    let mut row = SheetRow {
        line: line(record),
        ..SheetRow::default()
    };
    for (cell, position) in row.cells.iter_mut().zip(positions) {
        record
            .get(*position)
            .unwrap_or_default()
            .trim()
            .clone_into(cell);
    }
    row
}

/// Returns the line number of a record in the file, from 1; 0 if it is unknown.
fn line(record: &StringRecord) -> u64 {
    record.position().map_or(0, csv::Position::line)
}

/// Fault of a row with the wrong number of cells.
fn wrong_length(record: &StringRecord, columns: usize) -> SheetFault {
    let found = format!("{} cells", record.len());
    let remedy = format!("give {columns} cells, and put quotes around a cell that holds a comma");
    SheetFault::new(line(record), "", found, remedy)
}

/// Fault of a row that is not valid CSV.
fn unreadable(row: u64, error: &csv::Error) -> SheetFault {
    SheetFault::new(row, "", error.to_string(), "correct the row")
}

/// Fault of a sheet that exceeds `MAX_SHEET_BYTES`.
fn too_large(bytes: usize) -> SheetFault {
    let remedy = format!("shorten the sheet to {MAX_SHEET_BYTES} bytes");
    SheetFault::new(0, "", format!("{bytes} bytes"), remedy)
}

/// Fault of the first byte that is not UTF-8; its row is found by counting line breaks.
fn not_utf8(bytes: &[u8], offset: usize) -> SheetFault {
    let before = bytes.get(..offset).unwrap_or_default();
    let row = before.split(|byte| *byte == b'\n').count() as u64;
    let byte = bytes.get(offset).copied().unwrap_or_default();
    let found = format!("byte {byte:#04x} at offset {offset}");
    SheetFault::new(row, "", found, "save the sheet as UTF-8")
}
