use {
    crate::port::{ClaimAsk, ClaimEnd, ClaimKey, ClaimOutcome, ClaimRecord},
    std::{collections::HashMap, time::Duration},
};

/// Greatest size of a recorded answer in bytes; of a longer one only the status is kept.
pub const ANSWER_BYTES_MAX: usize = 4_096;
/// Bytes of a record beside its texts, rounded up.
const RECORD_BYTES: usize = 48;

/// Latest record of each key of a partition.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    records: HashMap<ClaimKey, ClaimRecord>,
}

/// What a group of asks comes to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClaimGroup {
    /// Outcome of each ask, in order; true once `records` are written.
    pub outcomes: Vec<ClaimOutcome>,
    /// Records to write; none if the table already says it all.
    pub records: Vec<ClaimRecord>,
    /// Whether an outcome rests on a record that another committer may have replaced since it was
    /// read. Such a group is decided again on a fresh table before it is answered.
    pub verify: bool,
}

/// Time and retention of a decision about claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimTime {
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Time for which a record counts.
    pub retention: Duration,
}

impl ClaimTime {
    /// Whether a record made at `at_ms` still counts.
    pub fn keeps(&self, at_ms: u64) -> bool {
        let end = at_ms.saturating_add(self.retention.as_millis() as u64);
        end > self.now_ms
    }
}

impl ClaimTable {
    /// Takes over `records`, the latest last.
    pub fn merge<I>(&mut self, records: I)
    where
        I: IntoIterator<Item = ClaimRecord>,
    {
        for record in records {
            self.records.insert(record.key.clone(), record);
        }
    }

    /// Forgets records past their retention.
    pub fn prune(&mut self, time: ClaimTime) {
        self.records.retain(|_, record| time.keeps(record.at_ms));
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides `asks` in order, each seeing the effects of those before it.
    ///
    /// Deciding again what was written before changes nothing: an attempt is its own change id.
    /// `gone` tells whether the entry host that made a record has died or restarted.
    pub fn decide<'a, I, G>(&self, asks: I, time: ClaimTime, gone: G) -> ClaimGroup
    where
        I: IntoIterator<Item = &'a ClaimAsk>,
        G: Fn(&ClaimRecord) -> bool,
    {
        let mut edits: HashMap<ClaimKey, ClaimRecord> = HashMap::new();
        let mut outcomes = Vec::new();
        let mut verify = false;
        for ask in asks {
            let key = ask_key(ask);
            let current = edits.get(key).or_else(|| self.records.get(key));
            let current = current.filter(|record| time.keeps(record.at_ms));
            let (outcome, edit) = decide_one(ask, current, time.now_ms, &gone);
            verify |= edit.is_none() && may_be_old(&outcome);
            outcomes.push(outcome);
            if let Some(edit) = edit {
                edits.insert(key.clone(), edit);
            }
        }
        let mut records: Vec<_> = edits.into_values().collect();
        records.sort_by(|a, b| a.key.cmp(&b.key));
        ClaimGroup {
            outcomes,
            records,
            verify,
        }
    }
}

/// Approximate size of a record in bytes.
pub fn record_bytes(record: &ClaimRecord) -> usize {
    let ClaimKey { branch, kind, key } = &record.key;
    let answer = match &record.end {
        Some(ClaimEnd::Answered { content, body, .. }) => content.len() + body.len(),
        Some(ClaimEnd::NotRun | ClaimEnd::Unknown) | None => 0,
    };
    RECORD_BYTES + branch.len() + kind.len() + key.len() + answer
}

/// Key that an ask is about.
pub fn ask_key(ask: &ClaimAsk) -> &ClaimKey {
    match ask {
        ClaimAsk::Take { key, .. } | ClaimAsk::Finish { key, .. } => key,
    }
}

fn decide_one<G>(
    ask: &ClaimAsk,
    current: Option<&ClaimRecord>,
    now_ms: u64,
    gone: &G,
) -> (ClaimOutcome, Option<ClaimRecord>)
where
    G: Fn(&ClaimRecord) -> bool,
{
    match ask {
        ClaimAsk::Take {
            key, body, attempt, ..
        } => {
            let outcome = current.map_or(ClaimOutcome::Taken, |record| {
                if record.attempt == *attempt {
                    repeated(record)
                } else {
                    contested(record, *body, gone)
                }
            });
            let held = current.is_some_and(|record| record.attempt == *attempt);
            let edit = (outcome == ClaimOutcome::Taken && !held).then(|| ClaimRecord {
                key: key.clone(),
                body: Some(*body),
                attempt: *attempt,
                end: None,
                at_ms: now_ms,
            });
            (outcome, edit)
        }
        ClaimAsk::Finish { key, attempt, end } => {
            let edit = may_end(current, ask).then(|| ClaimRecord {
                key: key.clone(),
                body: current.and_then(|record| record.body),
                attempt: *attempt,
                end: Some(shorten(end)),
                at_ms: now_ms,
            });
            (ClaimOutcome::Recorded, edit)
        }
    }
}

/// Whether an outcome without a write changes once the holder of the claim ends it.
fn may_be_old(outcome: &ClaimOutcome) -> bool {
    matches!(
        outcome,
        ClaimOutcome::Taken
            | ClaimOutcome::InProgress { .. }
            | ClaimOutcome::Ended(ClaimEnd::Unknown)
    )
}

/// Outcome for the attempt that the record already belongs to.
fn repeated(record: &ClaimRecord) -> ClaimOutcome {
    match &record.end {
        None => ClaimOutcome::Taken,
        Some(ClaimEnd::NotRun) => ClaimOutcome::Unavailable,
        Some(end) => ClaimOutcome::Ended(end.clone()),
    }
}

/// Outcome for another attempt than the one that the record belongs to.
fn contested<G>(record: &ClaimRecord, body: u64, gone: &G) -> ClaimOutcome
where
    G: Fn(&ClaimRecord) -> bool,
{
    if record.end == Some(ClaimEnd::NotRun) {
        return ClaimOutcome::Taken;
    }
    if record.body.is_some_and(|known| known != body) {
        return ClaimOutcome::Mismatch;
    }
    match &record.end {
        Some(end) => ClaimOutcome::Ended(end.clone()),
        None if gone(record) => ClaimOutcome::Ended(ClaimEnd::Unknown),
        None => ClaimOutcome::InProgress {
            holder: record.attempt,
        },
    }
}

/// Whether a finish changes the record.
///
/// The first end stands, except that a known outcome replaces an unknown one. A finish without a
/// record is kept as well: it stops a write of the same attempt that is still under way.
fn may_end(current: Option<&ClaimRecord>, ask: &ClaimAsk) -> bool {
    let ClaimAsk::Finish { attempt, end, .. } = ask else {
        return false;
    };
    let Some(record) = current else {
        return true;
    };
    let own = record.attempt == *attempt;
    let better = record.end == Some(ClaimEnd::Unknown) && matches!(end, ClaimEnd::Answered { .. });
    own && (record.end.is_none() || better)
}

/// Leaves out the body of an answer that is too long to record.
fn shorten(end: &ClaimEnd) -> ClaimEnd {
    match end {
        ClaimEnd::Answered {
            status,
            content,
            body,
            ..
        } if body.len() > ANSWER_BYTES_MAX => ClaimEnd::Answered {
            status: *status,
            content: content.clone(),
            body: Vec::new(),
            whole: false,
        },
        end => end.clone(),
    }
}
