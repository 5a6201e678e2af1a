use {
    super::{BoundedOutput, LogLevel, LogSettings},
    log::LevelFilter as Facade,
    logforth::{
        append::{Stderr, file::FileBuilder},
        bridge::log::LogBridge,
        core::{LoggerBuilder, builder},
        layout::JsonLayout,
        record::{Level, LevelFilter},
    },
    std::{io, path::Path},
};

/// Starts to write log lines as JSON, to standard error or a file, as `settings` say.
///
/// The first call of a process counts; later ones change nothing.
pub fn start_logs(settings: &LogSettings) -> io::Result<()> {
    let (facade, level) = levels(settings.level);
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = if let Some(path) = &settings.file {
        let file = open(path)?;
        builder().dispatch(|dispatch| dispatch.filter(filter).append(file))
    } else {
        let stderr = Stderr::default().with_layout(JsonLayout::default());
        builder().dispatch(|dispatch| dispatch.filter(filter).append(stderr))
    };
    install(logger, facade);
    Ok(())
}

/// Starts to write log lines as JSON to standard output, `rate` a second at most below the level
/// of a warning, without ever waiting for the output.
pub fn start_bounded_logs(level: LogLevel, rate: u32) -> io::Result<()> {
    let (facade, level) = levels(level);
    let filter = LevelFilter::MoreSevereEqual(level);
    let output = BoundedOutput::start(io::stdout(), rate)?;
    install(
        builder().dispatch(|dispatch| dispatch.filter(filter).append(output)),
        facade,
    );
    Ok(())
}

fn install(logger: LoggerBuilder, level: Facade) {
    let bridge = LogBridge::new(logger.build());
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(level);
    }
}

fn open(path: &Path) -> io::Result<logforth::append::File> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    FileBuilder::new(folder, name)
        .layout(JsonLayout::default())
        .build()
        .map_err(|error| io::Error::other(error.to_string()))
}

fn levels(level: LogLevel) -> (Facade, Level) {
    match level {
        LogLevel::Error => (Facade::Error, Level::Error),
        LogLevel::Warn => (Facade::Warn, Level::Warn),
        LogLevel::Info => (Facade::Info, Level::Info),
        LogLevel::Debug => (Facade::Debug, Level::Debug),
        LogLevel::Trace => (Facade::Trace, Level::Trace),
    }
}
