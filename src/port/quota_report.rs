use serde::{Deserialize, Serialize};

/// Report of a daemon to the accountant of a shard of organisations.
///
/// Organisations are named by the hash of their name, and times are in microseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaReport {
    /// Number of the shard.
    pub shard: u8,
    /// Hash of the sender's name.
    pub sender: u64,
    /// Number of the report; a later one of the same sender has a greater one.
    pub sequence: u64,
    /// Last time stamp that the sender received from this accountant, and the time since then.
    pub echo: Option<(QuotaStamp, u64)>,
    /// Number of daemons that share the quotas, of which the sender hands over one part; 0 if it hands
    /// over nothing.
    pub daemons: u32,
    /// Time for which the share is handed over, from when the report is sent.
    pub term: u64,
    /// What the sender used and needs of each organisation in use.
    pub needs: Vec<QuotaNeed>,
}

/// Time of an accountant's clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaStamp {
    /// Number of the accountant's run, which a restart changes.
    pub run: u64,
    /// Time since the boot of its host.
    pub time: u64,
}

/// What a daemon used and needs of the quota of one organisation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaNeed {
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Credit that the sender keeps, reserved credit included.
    pub held: u64,
    /// Credit that the sender gives back.
    pub returned: u64,
    /// Credit used since the last report.
    pub used: u64,
    /// Credit that the sender expects to need soon, beyond what it holds.
    pub expected: u64,
    /// Credit that all waiting requests lack.
    pub missing: u64,
    /// Credit that the first waiting request lacks.
    pub first_missing: u64,
}

/// Reply to a `QuotaReport`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaReply {
    /// Time at which the accountant handled the report.
    pub stamp: QuotaStamp,
    /// Credit for the organisations of the report.
    pub grants: Vec<QuotaGrant>,
}

/// Credit that an accountant grants for one organisation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaGrant {
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Amount of credit.
    pub amount: u64,
    /// Time after which the first waiting request can have its credit; 0 if it was granted.
    pub wait: u64,
}
