use {
    crate::decide::{COLUMNS, SheetFault, SheetRow},
    csv::{Reader, ReaderBuilder, StringRecord, Writer},
    std::str,
};

/// Greatest size of a sheet in bytes.
pub const SHEET_BYTES_MAX: usize = 1 << 20;

const HEADER_ROW: u64 = 1;
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Reads a sheet's rows from CSV; its columns may stand in any order.
pub fn read_sheet(bytes: &[u8]) -> Result<Vec<SheetRow>, Vec<SheetFault>> {
    if bytes.len() > SHEET_BYTES_MAX {
        return Err(vec![too_large(bytes.len())]);
    }
    let text = str::from_utf8(bytes).map_err(|error| vec![not_utf8(bytes, error.valid_up_to())])?;
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut reader = ReaderBuilder::new()
        .flexible(true)
        .from_reader(text.as_bytes());
    let places = read_header(&mut reader)?;
    read_rows(&mut reader, &places)
}

/// Writes rows as CSV with a header.
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

/// Returns the place of each of `COLUMNS` in the header.
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
    let mut places = Vec::new();
    for column in COLUMNS {
        match header.iter().position(|name| *name == column) {
            Some(place) => places.push(place),
            None => faults.push(SheetFault::new(HEADER_ROW, column, "", "add this column")),
        }
    }
    if faults.is_empty() {
        Ok(places)
    } else {
        Err(faults)
    }
}

fn read_rows(
    reader: &mut Reader<&[u8]>,
    places: &[usize],
) -> Result<Vec<SheetRow>, Vec<SheetFault>> {
    let mut rows = Vec::new();
    let mut faults = Vec::new();
    for (record, i) in reader.records().zip(HEADER_ROW..) {
        match record {
            Ok(record) if record.len() == places.len() => rows.push(row(&record, places)),
            Ok(record) => faults.push(wrong_length(&record, places.len())),
            Err(error) => faults.push(unreadable(i + 1, &error)),
        }
    }
    if faults.is_empty() {
        Ok(rows)
    } else {
        Err(faults)
    }
}

fn row(record: &StringRecord, places: &[usize]) -> SheetRow {
    let mut row = SheetRow {
        line: line(record),
        ..SheetRow::default()
    };
    for (cell, place) in row.cells.iter_mut().zip(places) {
        record
            .get(*place)
            .unwrap_or_default()
            .trim()
            .clone_into(cell);
    }
    row
}

fn line(record: &StringRecord) -> u64 {
    record.position().map_or(0, csv::Position::line)
}

fn wrong_length(record: &StringRecord, columns: usize) -> SheetFault {
    let found = format!("{} cells", record.len());
    let remedy = format!("give {columns} cells, and put quotes around a cell that holds a comma");
    SheetFault::new(line(record), "", found, remedy)
}

fn unreadable(row: u64, error: &csv::Error) -> SheetFault {
    SheetFault::new(row, "", error.to_string(), "correct the row")
}

fn too_large(bytes: usize) -> SheetFault {
    let remedy = format!("shorten the sheet to {SHEET_BYTES_MAX} bytes");
    SheetFault::new(0, "", format!("{bytes} bytes"), remedy)
}

fn not_utf8(bytes: &[u8], offset: usize) -> SheetFault {
    let before = bytes.get(..offset).unwrap_or_default();
    let row = before.split(|byte| *byte == b'\n').count() as u64;
    let byte = bytes.get(offset).copied().unwrap_or_default();
    let found = format!("byte {byte:#04x} at offset {offset}");
    SheetFault::new(row, "", found, "save the sheet as UTF-8")
}
