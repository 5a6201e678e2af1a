use {
    super::{IoLimits, descriptor_limit},
    crate::{
        board::{Branch, CallerBounds, Secret},
        decide::{HTTP2_CONNECTION_BYTES, caller_bounds},
    },
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::Duration,
    },
};

/// Settings of one daemon; the fields have the names of the keys in the file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address at which other daemons reach the peer listener; if absent, the address that the
    /// listener is bound to.
    pub advertise: Option<SocketAddr>,
    /// Addresses of peer listeners that are used to join the others while the platform's host list
    /// names no daemon.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform and limits on calls to it.
    pub platform: PlatformSettings,
    /// Keys of the operator and peer listeners.
    pub keys: Keys,
    /// Branches that may send requests.
    pub branches: Vec<Branch>,
    /// Limits on what callers and operators may send.
    pub limits: Limits,
    /// Intervals and time-outs.
    pub timing: Timing,
    /// Handling of claims, the idempotency records of at-most-once requests.
    pub claims: Claims,
    /// Limits on orders to engines.
    pub orders: OrderLimits,
    /// Log output.
    pub log: LogSettings,
}

/// Addresses to listen on, by default ports 7100 to 7102 of the loopback address; port 0 selects a
/// free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Address of the listener for other daemons.
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

/// Address of the platform and limits on calls to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform, `ip:port`.
    pub address: String,
    /// Maximum number of calls per second by this daemon; a watch counts as one call.
    pub calls: u32,
    /// Time-out of one call; a watch may take its wait in addition.
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
    /// Key that operators present as a bearer token.
    pub operators: Secret,
    /// Key that daemons present to one another, the same on every daemon.
    pub peers: Secret,
}

/// Limits on what callers and operators may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum size of the names and values of all request headers in bytes.
    pub header_bytes: u64,
    /// Time from the first byte of a request head in which the complete head must arrive.
    pub header_time: Duration,
    /// Time in which the complete request body must arrive.
    pub body_time: Duration,
    /// Maximum number of open connections per listener.
    pub connections: u32,
    /// Memory that the process may use, in MiB. What is held for callers is bounded by it.
    pub memory_mb: u32,
    /// Maximum time-out of a request of a caller, and the time-out without `Request-Timeout`.
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
            memory_mb: 256,
            request_time: Duration::from_mins(5),
        }
    }
}

impl Limits {
    /// Returns the limits of a connection.
    pub fn io_limits(&self) -> IoLimits {
        IoLimits {
            head_time: self.header_time,
            head_bytes: self.header_bytes as usize,
            close_time: self.body_time,
        }
    }

    /// Returns the bounds on what is held for callers, within the descriptors that the system allows.
    pub fn caller_bounds(&self) -> CallerBounds {
        let memory = (self.memory_mb as usize) << 20;
        let bounds = caller_bounds(memory, descriptor_limit(), HTTP2_CONNECTION_BYTES);
        CallerBounds {
            connections: bounds.connections.min(self.connections as usize),
            ..bounds
        }
    }
}

/// Intervals and time-outs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Interval of heartbeats between daemons.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a daemon is suspected; longer than `heartbeat`.
    pub suspect: Duration,
    /// Time without a heartbeat after which a suspected daemon is declared dead; longer than
    /// `suspect`.
    pub dead: Duration,
    /// Interval of load reports of an owned endpoint.
    pub load: Duration,
    /// Interval at which digests of the owned endpoints are sent.
    pub digest: Duration,
    /// Interval at which the platform's host list is read.
    pub hosts: Duration,
    /// Maximum wait of one watch of the sheet, and interval at which the revision is compared with
    /// peers.
    pub sheet: Duration,
    /// Maximum time without progress of a KV cache transfer or a token stream.
    pub progress: Duration,
    /// Time-out of one call to another daemon.
    pub peer: Duration,
    /// Maximum time that a planned stop waits for the requests in progress.
    pub drain: Duration,
    /// Time for which a request that an endpoint crashed on is remembered as a crash suspect.
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

/// Handling of claims, the idempotency records of at-most-once requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claims {
    /// Number of partitions, each with objects of its own, over which claims are spread; the same
    /// on every daemon.
    pub partitions: u32,
    /// Time for which claims are collected before they are written together.
    pub window: Duration,
    /// Time for which the outcome of a request is kept.
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

/// Limits on orders to engines to load the models and adapters that the sheet requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderLimits {
    /// Maximum number of engines of one availability zone that load at once, the same on every
    /// daemon; 0 disables orders.
    pub loads: u32,
    /// Time-out of one order.
    pub limit: Duration,
    /// Duration of an order lease, longer than `limit`.
    pub term: Duration,
    /// Time between two attempts to send an order to one endpoint.
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

/// Level and destination of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Path of the log file; standard error if absent.
    pub file: Option<PathBuf>,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogLevel {
    /// Failures that need the attention of an operator.
    Error,
    /// Failures that the daemon handles by itself.
    Warn,
    /// Changes of state, and one line per request.
    #[default]
    Info,
    /// Also attempts and calls.
    Debug,
    /// Everything.
    Trace,
}
