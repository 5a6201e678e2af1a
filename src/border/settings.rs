use {
    crate::board::{Branch, Secret},
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::Duration,
    },
};

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address at which other daemons reach the peer listener; that of the listener if absent.
    pub advertise: Option<SocketAddr>,
    /// Peer listeners of other daemons that are asked while the platform has named none.
    pub seeds: Vec<SocketAddr>,
    /// The platform.
    pub platform: PlatformSettings,
    /// Keys of the operator and peer listeners.
    pub keys: Keys,
    /// Branches that may send requests.
    pub branches: Vec<Branch>,
    /// Limits on what clients may send.
    pub limits: Limits,
    /// Intervals and time-outs.
    pub timing: Timing,
    /// Claims of at-most-once requests.
    pub claims: Claims,
    /// Orders to engines.
    pub orders: OrderLimits,
    /// Logs.
    pub log: LogSettings,
}

/// Addresses to listen on; port 0 takes a free one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Callers.
    pub callers: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        Self {
            callers: local(7100),
            operators: local(7101),
            peers: local(7102),
        }
    }
}

/// The platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address, `ip:port`.
    pub address: String,
    /// Calls that this daemon may make in a second, a waiting watch counted as one.
    pub calls: u32,
    /// Time limit of one call.
    pub timeout: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: String::new(),
            calls: 50,
            timeout: Duration::from_secs(2),
        }
    }
}

/// Keys of the operator and peer listeners.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Presented by operators as a bearer key.
    pub operators: Secret,
    /// Presented by other daemons.
    pub peers: Secret,
}

/// Limits on what clients may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Size of a request body in bytes.
    pub body_bytes: u64,
    /// Size of all request headers in bytes.
    pub header_bytes: u64,
    /// Time in which the headers must arrive.
    pub header_time: Duration,
    /// Time in which the body must arrive.
    pub body_time: Duration,
    /// Open connections of one listener.
    pub connections: u32,
    /// Longest time that a request may take.
    pub request_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            header_time: Duration::from_secs(5),
            body_time: Duration::from_secs(15),
            connections: 4_096,
            request_time: Duration::from_mins(5),
        }
    }
}

/// Intervals and time-outs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Interval of heartbeats between daemons.
    pub heartbeat: Duration,
    /// Silence after which a daemon is suspected.
    pub suspect: Duration,
    /// Silence after which a suspected daemon is removed.
    pub dead: Duration,
    /// Interval of load reports from an owned endpoint.
    pub load: Duration,
    /// Interval of digests of owned endpoints.
    pub digest: Duration,
    /// Interval of reads of the platform's host list.
    pub hosts: Duration,
    /// Longest wait of one watch of the sheet, and interval of comparison with peers.
    pub sheet: Duration,
    /// Longest time without progress of a transfer or a stream.
    pub progress: Duration,
    /// Time limit of one call to another daemon.
    pub peer: Duration,
    /// Longest time that a planned stop waits for requests in progress.
    pub drain: Duration,
    /// Time for which a suspected request is remembered.
    pub strike: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            suspect: Duration::from_secs(2),
            dead: Duration::from_secs(5),
            load: Duration::from_millis(100),
            digest: Duration::from_millis(500),
            hosts: Duration::from_secs(1),
            sheet: Duration::from_secs(2),
            progress: Duration::from_secs(2),
            peer: Duration::from_secs(1),
            drain: Duration::from_mins(10),
            strike: Duration::from_mins(10),
        }
    }
}

/// Claims of at-most-once requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claims {
    /// Objects over which claims are spread; the same on every daemon.
    pub partitions: u32,
    /// Time for which claims are gathered into one write.
    pub window: Duration,
    /// Time for which an outcome is kept.
    pub retention: Duration,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            partitions: 16,
            window: Duration::from_millis(5),
            retention: Duration::from_hours(24),
        }
    }
}

/// Orders to engines to load what the sheet asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderLimits {
    /// Engines of one availability zone that may load at once, the same on every daemon; 0 sends
    /// no orders.
    pub loads: u32,
    /// Time limit of one order.
    pub limit: Duration,
    /// Term of a lease, longer than `limit`.
    pub term: Duration,
    /// Time between two tries at one endpoint.
    pub retry: Duration,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            loads: 2,
            limit: Duration::from_mins(2),
            term: Duration::from_mins(5),
            retry: Duration::from_secs(5),
        }
    }
}

/// Logs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// File, standard error if absent.
    pub file: Option<PathBuf>,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the daemon works around.
    Warn,
    /// Changes of state and one line for each request.
    #[default]
    Info,
    /// Attempts and calls.
    Debug,
    /// Everything.
    Trace,
}
