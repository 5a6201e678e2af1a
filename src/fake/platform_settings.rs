use {
    crate::port::HostEntry,
    serde::{Deserialize, Serialize},
};

/// Settings of the fake platform.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on, `ip:port`; `127.0.0.1:0` if empty.
    pub address: String,
    /// Seed of the random draws of faults.
    pub seed: u64,
    /// Hosts listed from the start.
    pub hosts: Vec<HostEntry>,
    /// Faults in force from the start.
    pub faults: PlatformFaults,
}

/// Faults of the fake platform, see docs/PLATFORM.md.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Kind of outage in force.
    pub outage: Outage,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Age of the returned host list in milliseconds.
    pub list_lag_ms: u64,
    /// Number of following writes that take effect but whose response is lost.
    pub lose_next: u32,
    /// Share of the writes after these whose response is lost, from 0 to 1.
    pub lose_share: f64,
    /// Outage that begins when the next response is lost.
    pub lose_outage: Outage,
    /// Number of following reads that return the previous version.
    pub stale_next: u32,
    /// Share of the reads after these that return the previous version, from 0 to 1.
    pub stale_share: f64,
}

/// Kind of outage of the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// The listener is closed.
    Refuse,
    /// Every call gets status 503.
    Error,
    /// Every call waits until the outage ends and then gets status 503.
    Hang,
}

/// Body of the control call of the fake platform; fields that are left out change nothing.
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
    /// Names of hosts to mark as leaving.
    pub leaving_hosts: Vec<String>,
    /// Names of hosts to remove.
    pub remove_hosts: Vec<String>,
}

/// Number of calls to the fake platform and of injected faults since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformObserved {
    /// Reads of an object, not counting watches.
    pub reads: u64,
    /// Creations, failed ones included.
    pub creates: u64,
    /// Updates, failed ones included.
    pub updates: u64,
    /// Calls that list objects by prefix.
    pub lists: u64,
    /// Watches; a waiting one counts once.
    pub watches: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Writes that took effect and whose response was lost.
    pub lost: u64,
    /// Reads that returned the previous version.
    pub stale: u64,
    /// Calls refused because of an outage.
    pub refused: u64,
    /// Total size of accepted writes in bytes.
    pub written: u64,
}

impl PlatformFaults {
    /// Sets the faults that `control` holds; the others stay.
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
