use {
    super::{BoundedOutput, LogLevel, LogSettings},
    log::LevelFilter as FacadeFilter,
    logforth::{
        append::{Stderr, file::FileBuilder},
        bridge::log::LogBridge,
        core::{LoggerBuilder, builder},
        layout::JsonLayout,
        record::{Level, LevelFilter},
    },
    std::{io, path::Path},
};

/// Installs the logger of the process: JSON lines to standard error or to the file in `settings`.
///
/// Has no effect if a logger is installed already. Fails if the file cannot be opened.
pub fn start_logs(settings: &LogSettings) -> io::Result<()> {
    let (facade_filter, level) = levels(settings.level);
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = if let Some(path) = &settings.file {
        let file = open(path)?;
        builder().dispatch(|dispatch| dispatch.filter(filter).append(file))
    } else {
        let stderr = Stderr::default().with_layout(JsonLayout::default());
        builder().dispatch(|dispatch| dispatch.filter(filter).append(stderr))
    };
    install(logger, facade_filter);
    Ok(())
}

/// Installs the logger of the process: JSON lines to standard output, without ever blocking on it.
///
/// Lines below the level of a warning are limited to `rate` per second. Has no effect if a logger
/// is installed already. Fails if the writer thread cannot be started.
pub fn start_bounded_logs(level: LogLevel, rate: u32) -> io::Result<()> {
    let (facade_filter, level) = levels(level);
    let filter = LevelFilter::MoreSevereEqual(level);
    let output = BoundedOutput::start(io::stdout(), rate)?;
    install(
        builder().dispatch(|dispatch| dispatch.filter(filter).append(output)),
        facade_filter,
    );
    Ok(())
}

/// Makes `logger` the logger of the process, unless there is one already.
fn install(logger: LoggerBuilder, level: FacadeFilter) {
    let bridge = LogBridge::new(logger.build());
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(level);
    }
}

/// Opens a log file to which JSON lines are appended.
fn open(path: &Path) -> io::Result<logforth::append::File> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    FileBuilder::new(folder, name)
        .layout(JsonLayout::default())
        .build()
        .map_err(|error| io::Error::other(error.to_string()))
}

/// Converts `level` to the level types of the `log` and `logforth` crates.
fn levels(level: LogLevel) -> (FacadeFilter, Level) {
    match level {
        LogLevel::Error => (FacadeFilter::Error, Level::Error),
        LogLevel::Warn => (FacadeFilter::Warn, Level::Warn),
        LogLevel::Info => (FacadeFilter::Info, Level::Info),
        LogLevel::Debug => (FacadeFilter::Debug, Level::Debug),
        LogLevel::Trace => (FacadeFilter::Trace, Level::Trace),
    }
}
