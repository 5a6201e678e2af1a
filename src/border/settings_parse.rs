use {
    super::{
        Claims, Keys, Limits, Listen, LogLevel, LogSettings, OrderLimits, PlatformSettings,
        Settings, SettingsError, Timing,
        settings_reader::{Faults, SettingsReader},
    },
    crate::board::{Branch, Secret},
    serde_json::Value,
    std::{
        collections::HashSet,
        path::{Path, PathBuf},
    },
};

/// Queue size of a branch in bytes, unless it is set.
const DEFAULT_QUEUE_BYTES: u64 = 64 << 20;
/// Minimum length of a key in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Reads and validates the settings in the file `path`.
///
/// Fails if the file cannot be read, is not valid YAML or has faults.
pub async fn read_settings(path: &Path) -> Result<Settings, SettingsError> {
    let text = tokio::fs::read_to_string(path)
        .await
        .map_err(|source| SettingsError::File {
            path: path.to_owned(),
            source,
        })?;
    parse_settings(&text)
}

/// Parses and validates the settings in `text`, which is YAML.
///
/// An error lists every fault, not just the first one.
pub fn parse_settings(text: &str) -> Result<Settings, SettingsError> {
    // An error message with a snippet of the text could reveal a key.
    let options = serde_saphyr::options! { with_snippet: false };
    let value = serde_saphyr::from_str_with_options::<Value>(text, options)
        .map_err(|error| SettingsError::Syntax(error.to_string()))?;
    let faults = Faults::default();
    let settings = read_all(value, &faults);
    check(&settings, &faults);
    let faults = faults.into_inner();
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError::Faults(faults))
    }
}

/// Reads all settings; a faulty value is reported and replaced by a default.
fn read_all(value: Value, faults: &Faults) -> Settings {
    let mut top = SettingsReader::new(String::new(), Some(value), faults);
    let settings = Settings {
        host: top.text("host"),
        zone: top.text("zone"),
        listen: read_listen(top.section("listen")),
        advertise: top.optional_address("advertise"),
        seeds: top.addresses("seeds"),
        platform: read_platform(top.section("platform")),
        keys: read_keys(top.section("keys")),
        branches: top
            .sections("branches")
            .into_iter()
            .map(read_branch)
            .collect(),
        limits: read_limits(top.section("limits")),
        timing: read_timing(top.section("timing")),
        claims: read_claims(top.section("claims")),
        orders: read_orders(top.section("orders")),
        log: read_log(top.section("log")),
    };
    top.report_unknown_keys();
    settings
}

fn read_listen(mut reader: SettingsReader<'_>) -> Listen {
    let default = Listen::default();
    let listen = Listen {
        callers: reader.address("callers", default.callers),
        operators: reader.address("operators", default.operators),
        peers: reader.address("peers", default.peers),
    };
    reader.report_unknown_keys();
    listen
}

fn read_platform(mut reader: SettingsReader<'_>) -> PlatformSettings {
    let default = PlatformSettings::default();
    let platform = PlatformSettings {
        address: reader.required_address("address"),
        calls: reader.number("calls", default.calls.into(), 1..=10_000) as u32,
        timeout: reader.duration("timeout", default.timeout),
    };
    reader.report_unknown_keys();
    platform
}

fn read_keys(mut reader: SettingsReader<'_>) -> Keys {
    let keys = Keys {
        operators: Secret(reader.secret("operators")),
        peers: Secret(reader.secret("peers")),
    };
    reader.report_unknown_keys();
    keys
}

fn read_branch(mut reader: SettingsReader<'_>) -> Branch {
    let branch = Branch {
        name: reader.text("name"),
        secret: Secret(reader.secret("key")),
        queue_bytes: reader.number("queue_bytes", DEFAULT_QUEUE_BYTES, 1_024..=1 << 40),
    };
    reader.report_unknown_keys();
    branch
}

fn read_limits(mut reader: SettingsReader<'_>) -> Limits {
    let default = Limits::default();
    let limits = Limits {
        body_bytes: reader.number("body_bytes", default.body_bytes, 1_024..=1 << 30),
        header_bytes: reader.number("header_bytes", default.header_bytes, 1_024..=1 << 20),
        header_time: reader.duration("header_time", default.header_time),
        body_time: reader.duration("body_time", default.body_time),
        connections: reader.number("connections", default.connections.into(), 1..=1_000_000) as u32,
        memory_mb: reader.number("memory_mb", default.memory_mb.into(), 16..=1_048_576) as u32,
        request_time: reader.duration("request_time", default.request_time),
    };
    reader.report_unknown_keys();
    limits
}

fn read_timing(mut reader: SettingsReader<'_>) -> Timing {
    let default = Timing::default();
    let timing = Timing {
        heartbeat: reader.duration("heartbeat", default.heartbeat),
        suspect: reader.duration("suspect", default.suspect),
        dead: reader.duration("dead", default.dead),
        load: reader.duration("load", default.load),
        digest: reader.duration("digest", default.digest),
        hosts: reader.duration("hosts", default.hosts),
        sheet: reader.duration("sheet", default.sheet),
        progress: reader.duration("progress", default.progress),
        peer: reader.duration("peer", default.peer),
        drain: reader.duration("drain", default.drain),
        strike: reader.duration("strike", default.strike),
    };
    reader.report_unknown_keys();
    timing
}

fn read_claims(mut reader: SettingsReader<'_>) -> Claims {
    let default = Claims::default();
    let claims = Claims {
        partitions: reader.number("partitions", default.partitions.into(), 1..=65_536) as u32,
        window: reader.duration("window", default.window),
        retention: reader.duration("retention", default.retention),
    };
    reader.report_unknown_keys();
    claims
}

fn read_orders(mut reader: SettingsReader<'_>) -> OrderLimits {
    let default = OrderLimits::default();
    let orders = OrderLimits {
        loads: reader.number("loads", default.loads.into(), 0..=1_000) as u32,
        limit: reader.duration("limit", default.limit),
        term: reader.duration("term", default.term),
        retry: reader.duration("retry", default.retry),
    };
    reader.report_unknown_keys();
    orders
}

fn read_log(mut reader: SettingsReader<'_>) -> LogSettings {
    let levels = [
        ("error", LogLevel::Error),
        ("warn", LogLevel::Warn),
        ("info", LogLevel::Info),
        ("debug", LogLevel::Debug),
        ("trace", LogLevel::Trace),
    ];
    let log = LogSettings {
        level: reader.choice("level", LogLevel::default(), &levels),
        file: reader.optional_text("file").map(PathBuf::from),
    };
    reader.report_unknown_keys();
    log
}

/// Checks the length of keys and the rules that concern more than one value.
fn check(settings: &Settings, faults: &Faults) {
    check_timing(settings, faults);
    check_secret("keys.operators", &settings.keys.operators, faults);
    check_secret("keys.peers", &settings.keys.peers, faults);
    check_branches(&settings.branches, faults);
    if settings.advertise.is_none() && settings.listen.peers.ip().is_unspecified() {
        faults.add(
            "advertise",
            "nothing, while listen.peers binds every address",
            "the address at which other daemons reach this one",
        );
    }
}

/// Checks the pairs of durations of which one must be longer than the other.
///
/// A pair with a value that is itself faulty is skipped.
fn check_timing(settings: &Settings, faults: &Faults) {
    let Settings { timing, orders, .. } = settings;
    let pairs = [
        (
            "timing.suspect",
            timing.suspect,
            "timing.heartbeat",
            timing.heartbeat,
        ),
        ("timing.dead", timing.dead, "timing.suspect", timing.suspect),
        ("orders.term", orders.term, "orders.limit", orders.limit),
    ];
    for (path, value, other, bound) in pairs {
        if value <= bound && !faults.has(path) && !faults.has(other) {
            let allowed = format!("more than {other}, which is {bound:?}");
            faults.add(path, &format!("{value:?}"), &allowed);
        }
    }
}

/// Checks the length of a key; a missing key is reported elsewhere.
fn check_secret(path: &str, secret: &Secret, faults: &Faults) {
    let length = secret.0.len();
    if length > 0 && length < MIN_KEY_BYTES {
        let allowed = format!("a key of at least {MIN_KEY_BYTES} bytes");
        faults.add(path, &format!("a key of {length} bytes"), &allowed);
    }
}

/// Checks that names and keys of branches are unique.
fn check_branches(branches: &[Branch], faults: &Faults) {
    let mut names = HashSet::new();
    let mut keys = HashSet::new();
    for (i, branch) in branches.iter().enumerate() {
        let key = format!("branches[{i}].key");
        check_secret(&key, &branch.secret, faults);
        if !branch.name.is_empty() && !names.insert(&branch.name) {
            let path = format!("branches[{i}].name");
            faults.add(&path, &format!("\"{}\"", branch.name), "a name used once");
        }
        if !branch.secret.0.is_empty() && !keys.insert(&branch.secret.0) {
            faults.add(&key, "the key of another branch", "a key used once");
        }
    }
}
