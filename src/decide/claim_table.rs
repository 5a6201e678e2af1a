use {
    crate::port::{ClaimEnd, ClaimKey, ClaimOutcome, ClaimRecord, ClaimRequest},
    std::{collections::HashMap, time::Duration},
};

/// Maximum size in bytes of the body of a recorded response; a longer body is left out.
pub const MAX_RESPONSE_BYTES: usize = 4_096;
/// Size of a record in bytes without its texts, rounded up.
const RECORD_BYTES: usize = 48;

/// Latest claim record of each key of a partition.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    records: HashMap<ClaimKey, ClaimRecord>,
}

/// Result of the decision on a group of requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClaimGroup {
    /// Outcome of each request, in order; valid once `records` are written.
    pub outcomes: Vec<ClaimOutcome>,
    /// Records to write, ordered by key; empty if the table holds them already.
    pub records: Vec<ClaimRecord>,
    /// Whether an outcome relies on a record that another committer may have replaced since it was
    /// read. Such a group must be decided again on a fresh table before the outcomes are reported.
    pub verify: bool,
}

/// Time of a decision about claims, and the retention of records.
#[derive(Clone, Copy, Debug)]
pub struct ClaimTime {
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Time for which a record is valid.
    pub retention: Duration,
}

impl ClaimTime {
    /// Whether a record written at `at_ms`, in milliseconds since the Unix epoch, is still valid.
    pub fn is_valid(&self, at_ms: u64) -> bool {
        let end = at_ms.saturating_add(self.retention.as_millis() as u64);
        end > self.now_ms
    }
}

impl ClaimTable {
    /// Adds `records`, the latest last; each replaces an earlier one of its key.
    pub fn merge<I>(&mut self, records: I)
    where
        I: IntoIterator<Item = ClaimRecord>,
    {
        for record in records {
            self.records.insert(record.key.clone(), record);
        }
    }

    /// Removes records past their retention.
    pub fn prune(&mut self, time: ClaimTime) {
        self.records.retain(|_, record| time.is_valid(record.at_ms));
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides `requests` in order; each sees the effects of those before it.
    ///
    /// Requests whose records are written already can be decided again without effect, because a
    /// record holds the id of the attempt that wrote it. `is_orphaned` returns whether the entry
    /// host that made a record has died or restarted.
    pub fn decide<'a, I, G>(&self, requests: I, time: ClaimTime, is_orphaned: G) -> ClaimGroup
    where
        I: IntoIterator<Item = &'a ClaimRequest>,
        G: Fn(&ClaimRecord) -> bool,
    {
        let mut edits: HashMap<ClaimKey, ClaimRecord> = HashMap::new();
        let mut outcomes = Vec::new();
        let mut verify = false;
        for request in requests {
            let key = claim_key(request);
            let current = edits.get(key).or_else(|| self.records.get(key));
            let current = current.filter(|record| time.is_valid(record.at_ms));
            let (outcome, edit) = decide_one(request, current, time.now_ms, &is_orphaned);
            verify |= edit.is_none() && may_be_stale(&outcome);
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

/// Returns the approximate size of a record in bytes.
pub fn record_bytes(record: &ClaimRecord) -> usize {
    let ClaimKey { branch, kind, key } = &record.key;
    let response = match &record.end {
        Some(ClaimEnd::Answered {
            content_type, body, ..
        }) => content_type.len() + body.len(),
        Some(ClaimEnd::NotRun | ClaimEnd::Unknown) | None => 0,
    };
    RECORD_BYTES + branch.len() + kind.len() + key.len() + response
}

/// Returns the claim key of a request.
pub fn claim_key(request: &ClaimRequest) -> &ClaimKey {
    match request {
        ClaimRequest::Take { key, .. } | ClaimRequest::Finish { key, .. } => key,
    }
}

/// Returns the outcome of one request and the record to write, if the request changes it.
fn decide_one<G>(
    request: &ClaimRequest,
    current: Option<&ClaimRecord>,
    now_ms: u64,
    is_orphaned: &G,
) -> (ClaimOutcome, Option<ClaimRecord>)
where
    G: Fn(&ClaimRecord) -> bool,
{
    match request {
        ClaimRequest::Take {
            key,
            body_hash,
            attempt,
            ..
        } => {
            let outcome = current.map_or(ClaimOutcome::Taken, |record| {
                if record.attempt == *attempt {
                    repeated(record)
                } else {
                    contested(record, *body_hash, is_orphaned)
                }
            });
            let held = current.is_some_and(|record| record.attempt == *attempt);
            let edit = (outcome == ClaimOutcome::Taken && !held).then(|| ClaimRecord {
                key: key.clone(),
                body_hash: Some(*body_hash),
                attempt: *attempt,
                end: None,
                at_ms: now_ms,
            });
            (outcome, edit)
        }
        ClaimRequest::Finish { key, attempt, end } => {
            let edit = may_end(current, request).then(|| ClaimRecord {
                key: key.clone(),
                body_hash: current.and_then(|record| record.body_hash),
                attempt: *attempt,
                end: Some(shorten(end)),
                at_ms: now_ms,
            });
            (ClaimOutcome::Recorded, edit)
        }
    }
}

/// Whether an outcome that was decided without a write may be stale: it changes once the holder of
/// the claim ends it.
fn may_be_stale(outcome: &ClaimOutcome) -> bool {
    matches!(
        outcome,
        ClaimOutcome::Taken
            | ClaimOutcome::InProgress { .. }
            | ClaimOutcome::Ended(ClaimEnd::Unknown)
    )
}

/// Returns the outcome for the attempt that the record already belongs to.
fn repeated(record: &ClaimRecord) -> ClaimOutcome {
    match &record.end {
        None => ClaimOutcome::Taken,
        Some(ClaimEnd::NotRun) => ClaimOutcome::Unavailable,
        Some(end) => ClaimOutcome::Ended(end.clone()),
    }
}

/// Returns the outcome for another attempt than the one that the record belongs to.
fn contested<G>(record: &ClaimRecord, body: u64, is_orphaned: &G) -> ClaimOutcome
where
    G: Fn(&ClaimRecord) -> bool,
{
    if record.end == Some(ClaimEnd::NotRun) {
        return ClaimOutcome::Taken;
    }
    if record.body_hash.is_some_and(|known| known != body) {
        return ClaimOutcome::Mismatch;
    }
    match &record.end {
        Some(end) => ClaimOutcome::Ended(end.clone()),
        None if is_orphaned(record) => ClaimOutcome::Ended(ClaimEnd::Unknown),
        None => ClaimOutcome::InProgress {
            holder: record.attempt,
        },
    }
}

/// Whether a finish changes the record.
///
/// The first end is kept, except that a known outcome replaces an unknown one. A finish without a
/// record is written as well, so that a delayed `Take` of the same attempt does not claim the key.
fn may_end(current: Option<&ClaimRecord>, request: &ClaimRequest) -> bool {
    let ClaimRequest::Finish { attempt, end, .. } = request else {
        return false;
    };
    let Some(record) = current else {
        return true;
    };
    let is_own = record.attempt == *attempt;
    let is_better =
        record.end == Some(ClaimEnd::Unknown) && matches!(end, ClaimEnd::Answered { .. });
    is_own && (record.end.is_none() || is_better)
}

/// Leaves out the body of a response that is too long to record.
fn shorten(end: &ClaimEnd) -> ClaimEnd {
    match end {
        ClaimEnd::Answered {
            status,
            content_type,
            body,
            ..
        } if body.len() > MAX_RESPONSE_BYTES => ClaimEnd::Answered {
            status: *status,
            content_type: content_type.clone(),
            body: Vec::new(),
            complete: false,
        },
        end => end.clone(),
    }
}
