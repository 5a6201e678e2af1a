use {
    super::{Call, Parts, Refused, Shared},
    crate::{
        board::{Refusal, Rule},
        key::{BranchKey, RequestId, name_hash},
    },
    slotmap::SecondaryMap,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Wait suggested to callers while the daemon has no sheet.
const NOT_READY_WAIT: Duration = Duration::from_secs(1);

/// Accepts requests from a front end: turns each into a `Call`, or refuses it.
#[derive(Debug)]
pub struct Entry {
    host: u64,
    incarnation: u64,
    sequence: AtomicU64,
    waiting: SecondaryMap<BranchKey, Arc<AtomicU64>>,
}

/// A request as a front end received it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Branch that the caller's bearer token belongs to.
    pub branch: BranchKey,
    /// Request kind; branch and kind select the rule of the sheet.
    pub kind: &'a str,
    /// Idempotency key, if the caller sent one.
    pub key: Option<&'a str>,
    /// Body; its length counts against the branch, its content goes into the fingerprint.
    pub body: &'a [u8],
    /// Time until the caller stops waiting.
    pub timeout: Duration,
}

/// Bytes of a request counted against its branch's limit until it is dropped.
#[derive(Debug)]
pub struct Admission {
    waiting: Arc<AtomicU64>,
    bytes: u64,
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.waiting.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

impl Entry {
    /// Creates the entry of the daemon on `host`, for the branches that the blackboard lists now.
    pub fn new<P>(shared: &Shared<P>, host: &str, incarnation: u64) -> Self
    where
        P: Parts,
    {
        let branches = shared.board().branches.load();
        let waiting = branches
            .iter()
            .map(|(key, _)| (key, Arc::default()))
            .collect();
        Self {
            host: name_hash(host),
            incarnation,
            sequence: AtomicU64::new(0),
            waiting,
        }
    }

    /// Accepts a request and counts its bytes against its branch.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if the daemon is stopping or has no sheet, the branch or its
    /// rule is unknown, the request crashed several endpoints, or its branch has too many bytes
    /// waiting.
    pub fn accept<P>(
        &self,
        shared: &Shared<P>,
        arrival: Arrival<'_>,
    ) -> Result<(Call, Admission), Refused>
    where
        P: Parts,
    {
        let health = shared.board().health.load();
        if health.stopping() {
            let detail = "this daemon is stopping; send the request to another";
            return Err(Refused::not_run(Refusal::Stopping, detail));
        }
        if shared.board().sheet.load().revision == 0 {
            let detail = "this daemon has no sheet yet; send the request to another";
            return Err(Refused::not_run(Refusal::NotReady, detail).after(NOT_READY_WAIT));
        }
        let (rule, limit) = rule(shared, arrival)?;
        let fingerprint = fingerprint(&rule, arrival.body);
        if shared.is_refused(fingerprint) {
            let detail = "this request has crashed endpoints; an operator can clear it";
            return Err(Refused::not_run(Refusal::CrashSuspect, detail));
        }
        let admission = self.admit(arrival, limit)?;
        let arrived = shared.now();
        let call = Call {
            id: self.next_id(),
            branch: arrival.branch,
            rule: Arc::new(rule),
            key: arrival.key.map(str::to_owned),
            arrived,
            deadline: arrived + arrival.timeout,
            fingerprint,
        };
        Ok((call, admission))
    }

    fn next_id(&self) -> RequestId {
        RequestId {
            host: self.host,
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Counts the bytes of the body against the branch, which may have at most `limit` waiting.
    fn admit(&self, arrival: Arrival<'_>, limit: u64) -> Result<Admission, Refused> {
        let full = || {
            let detail = "the branch has too many bytes waiting; send the request again later";
            Refused::not_run(Refusal::QueueFull, detail).after(Duration::from_secs(1))
        };
        let waiting = self.waiting.get(arrival.branch).ok_or_else(full)?;
        let bytes = arrival.body.len() as u64;
        let add = |used: u64| used.checked_add(bytes).filter(|sum| *sum <= limit);
        let admitted = waiting.fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
        admitted.map_err(|_used| full())?;
        Ok(Admission {
            waiting: Arc::clone(waiting),
            bytes,
        })
    }
}

/// Finds the rule of a request and the bytes that its branch may have waiting.
fn rule<P>(shared: &Shared<P>, arrival: Arrival<'_>) -> Result<(Rule, u64), Refused>
where
    P: Parts,
{
    let branches = shared.board().branches.load();
    let branch = branches.get(arrival.branch).ok_or_else(|| {
        Refused::not_run(
            Refusal::UnknownBranch,
            "send the branch's key as a bearer token",
        )
    })?;
    let sheet = shared.board().sheet.load();
    let rule = sheet.rule(&branch.name, arrival.kind).ok_or_else(|| {
        let detail = format!(
            "the sheet in force (revision {}) has no kind `{}` for branch `{}`",
            sheet.revision, arrival.kind, branch.name
        );
        Refused::not_run(Refusal::UnknownKind, &detail)
    })?;
    Ok((rule.clone(), branch.queue_bytes))
}

/// Hash of branch, kind and body: the same for a request that is sent again.
fn fingerprint(rule: &Rule, body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    name_hash(&rule.branch)
        ^ name_hash(&rule.kind).rotate_left(21)
        ^ name_hash(&text).rotate_left(42)
}
