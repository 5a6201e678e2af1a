use {
    crate::port::HostEntry,
    serde::{Deserialize, Serialize},
};

/// Settings of the platform's stand-in.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on, `ip:port`; `127.0.0.1:0` if empty.
    pub address: String,
    /// Seed of the faults drawn at random.
    pub seed: u64,
    /// Hosts listed from the start.
    pub hosts: Vec<HostEntry>,
    /// Faults from the start.
    pub faults: PlatformFaults,
}

/// Faults of the platform's stand-in, see docs/PLATFORM.md.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// How the platform is down.
    pub outage: Outage,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Age of the host list in milliseconds.
    pub list_lag_ms: u64,
    /// Writes that take effect but are not answered.
    pub lose_next: u32,
    /// Share of writes that take effect but are not answered, from 0 to 1.
    pub lose_share: f64,
    /// Outage that begins with the next lost answer.
    pub lose_outage: Outage,
    /// Reads that return the previous version.
    pub stale_next: u32,
    /// Share of reads that return the previous version, from 0 to 1.
    pub stale_share: f64,
}

/// How the platform is down.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// It is not.
    #[default]
    None,
    /// The listener is closed.
    Refuse,
    /// Every call is answered with 503.
    Error,
    /// No call is answered until the outage ends.
    Hang,
}

/// Body of the stand-in's control call; what is left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformControl {
    /// See `PlatformFaults::outage`.
    pub outage: Option<Outage>,
    /// Time after which the outage ends, in milliseconds.
    pub outage_ms: Option<u64>,
    /// See `PlatformFaults::delay_ms`.
    pub delay_ms: Option<u64>,
    /// See `PlatformFaults::list_lag_ms`.
    pub list_lag_ms: Option<u64>,
    /// See `PlatformFaults::lose_next`.
    pub lose_next: Option<u32>,
    /// See `PlatformFaults::lose_share`.
    pub lose_share: Option<f64>,
    /// See `PlatformFaults::lose_outage`.
    pub lose_outage: Option<Outage>,
    /// See `PlatformFaults::stale_next`.
    pub stale_next: Option<u32>,
    /// See `PlatformFaults::stale_share`.
    pub stale_share: Option<f64>,
    /// Hosts to add or replace.
    pub add_hosts: Vec<HostEntry>,
    /// Hosts that announce that they leave.
    pub leaving_hosts: Vec<String>,
    /// Hosts that go.
    pub remove_hosts: Vec<String>,
}

/// Calls and faults that the stand-in has seen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformObserved {
    /// Reads of an object.
    pub reads: u64,
    /// Creations, failed ones included.
    pub creates: u64,
    /// Updates, failed ones included.
    pub updates: u64,
    /// Lists by prefix.
    pub lists: u64,
    /// Watches; a waiting one counts once.
    pub watches: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Writes that took effect without an answer.
    pub lost: u64,
    /// Reads that returned an older version.
    pub stale: u64,
    /// Calls refused in an outage.
    pub refused: u64,
    /// Bytes of accepted writes.
    pub written: u64,
}

impl PlatformFaults {
    /// Takes over what `control` sets.
    pub fn apply(&mut self, control: &PlatformControl) {
        set(&mut self.outage, control.outage);
        set(&mut self.delay_ms, control.delay_ms);
        set(&mut self.list_lag_ms, control.list_lag_ms);
        set(&mut self.lose_next, control.lose_next);
        set(&mut self.lose_share, control.lose_share);
        set(&mut self.lose_outage, control.lose_outage);
        set(&mut self.stale_next, control.stale_next);
        set(&mut self.stale_share, control.stale_share);
    }
}

fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
