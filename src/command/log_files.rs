//! Log files that a command reads: files, directories of files, or standard input.

use {
    super::CommandError,
    crate::story::LogEntry,
    std::{
        fs,
        io::{self, Read},
        path::{Path, PathBuf},
    },
};

/// Host name of lines on standard input that do not name their host.
const STDIN: &str = "stdin";

/// Hands each log entry in the files `paths` to `read`; those on standard input if `paths` is empty.
///
/// A directory stands for the files in it. Lines that are no entries, such as one that was cut off
/// when the daemon was killed, are skipped.
///
/// # Errors
///
/// Fails if a log cannot be read.
pub fn read_logs<F>(paths: &[PathBuf], mut read: F) -> Result<(), CommandError>
where
    F: FnMut(LogEntry),
{
    if paths.is_empty() {
        let mut text = Vec::new();
        io::stdin().lock().read_to_end(&mut text)?;
        read_entries(STDIN, &text, &mut read);
    }
    for path in paths {
        for file in files(path).map_err(|error| unreadable(path, &error))? {
            let text = fs::read(&file).map_err(|error| unreadable(&file, &error))?;
            read_entries(&host(&file), &text, &mut read);
        }
    }
    Ok(())
}

/// Returns `path` itself, or the files in it, by name, if it is a directory.
fn files(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path)? {
        let file = entry?.path();
        if file.is_file() {
            files.push(file);
        }
    }
    files.sort_unstable();
    Ok(files)
}

fn read_entries<F>(host: &str, text: &[u8], read: &mut F)
where
    F: FnMut(LogEntry),
{
    let text = String::from_utf8_lossy(text);
    let entries = text.lines().filter_map(|line| LogEntry::parse(host, line));
    entries.for_each(read);
}

/// Host of a log file: the file name up to the first dot.
fn host(path: &Path) -> String {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    name.split('.').next().unwrap_or_default().to_owned()
}

fn unreadable(path: &Path, error: &io::Error) -> CommandError {
    CommandError::failed(format!(
        "cannot read the log `{}`: {error}; check the path and its permissions",
        path.display()
    ))
}
