use {
    super::{PlaceAsk, PlaceEnd, PlaceOutcome, PlaceRun},
    crate::{
        board::{Endpoint, HostState, Role, Rule},
        key::AttemptId,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A message from one daemon to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerCall {
    /// Heartbeat with what the sender has to tell.
    Heartbeat(Heartbeat),
    /// Asks the receiver to probe a third host on behalf of the sender.
    Probe {
        /// Address of the host to probe.
        address: String,
    },
    /// Asks an owner for a place at one of the endpoints that it owns; waits in its line.
    Acquire(GrantAsk),
    /// Gives a grant back.
    Release(GrantRelease),
    /// Withdraws a waiting `Acquire`, or releases the grant if it was already given.
    Withdraw(AttemptId),
    /// Asks for the sheet's changes since a revision.
    Sheet {
        /// Revision that the sender has.
        since: u64,
    },
    /// Asks the committer of a partition to record claims.
    Claim(ClaimAsk),
    /// Asks for the receiver's own status.
    Status,
    /// Asks for places of a forwarded stream; waits in line for a moment.
    Place(PlaceAsk),
    /// Tells of streams that have their places from elsewhere.
    PlaceRuns(Vec<PlaceRun>),
    /// Gives such places back.
    PlaceEnd(PlaceEnd),
}

/// Reply to a `PeerCall`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// Reply to a heartbeat.
    Heartbeat(Heartbeat),
    /// Done, nothing to tell.
    Done,
    /// A place was granted.
    Granted(Grant),
    /// Nothing was granted and nothing is held.
    Denied(Denial),
    /// Changes of the sheet.
    Sheet(SheetChange),
    /// Outcome of a claim.
    Claim(ClaimOutcome),
    /// Status of one daemon as a JSON document.
    Status(String),
    /// The call could not be answered.
    Failed(String),
    /// Places of a forwarded stream.
    Place(PlaceOutcome),
}

/// What daemons tell each other at every interval; its size is bounded.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub host: String,
    /// Incarnation of the sender; 0 in a call asks for a large part of the members in the reply.
    pub incarnation: u64,
    /// Revision of the sheet that the sender has in force.
    pub revision: u64,
    /// Changes of membership that the sender passes on.
    pub members: Vec<MemberNews>,
    /// Load of endpoints that the sender owns.
    pub digests: Vec<EndpointNews>,
    /// Fingerprints of suspects that the sender passes on.
    pub suspects: Vec<SuspectNews>,
}

/// State of a member as the sender believes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberNews {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the peer listener.
    pub address: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Number of suspicions that the incarnation has refuted.
    pub round: u32,
    /// State.
    pub state: HostState,
}

/// Load of an endpoint as its owner sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointNews {
    /// Stable hash of the endpoint's name.
    pub endpoint: u64,
    /// Pieces not granted.
    pub free: u32,
    /// Attempts running.
    pub running: u32,
    /// Requests waiting for the endpoint.
    pub waiting: u32,
}

/// A suspect fingerprint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectNews {
    /// Fingerprint of branch, kind and body.
    pub print: u64,
    /// Endpoints that crashed while running it.
    pub endpoints: Vec<String>,
    /// Whether it is refused everywhere.
    pub refused: bool,
    /// Time left until it lapses.
    pub remaining: Duration,
}

/// Question to an owner for a place at an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantAsk {
    /// Attempt that will hold the place.
    pub attempt: AttemptId,
    /// Role of the place.
    pub role: Role,
    /// Pool.
    pub pool: String,
    /// Model that the endpoint must have loaded, empty for a service.
    pub model: String,
    /// Version of the model, empty for a service.
    pub version: String,
    /// Adapter that the endpoint must have loaded.
    pub adapter: Option<String>,
    /// Branch, for fair sharing.
    pub branch: String,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// Pieces of memory that the attempt is expected to hold.
    pub pieces: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens expected.
    pub output_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first, see docs/ENDPOINTS.md.
    pub prefixes: Vec<u64>,
    /// Time left until the first token is due.
    pub first_token: Duration,
    /// Time between tokens that the rule asks for.
    pub per_token: Duration,
    /// Time left until the request may no longer start.
    pub remaining: Duration,
    /// Endpoints to avoid.
    pub avoid: Vec<String>,
    /// Whether the request may have crashed an endpoint; an owner runs at most one such request
    /// at an endpoint, so that a second crash tells the suspects apart.
    pub suspect: bool,
}

impl GrantAsk {
    /// Whether the attempt may run at `endpoint`.
    pub fn suits(&self, endpoint: &Endpoint) -> bool {
        self.admits(endpoint) && self.is_loaded(endpoint)
    }

    /// Whether the attempt may run at `endpoint`, whatever that has loaded.
    pub fn admits(&self, endpoint: &Endpoint) -> bool {
        endpoint.role == self.role && !endpoint.leaving && !self.avoid.contains(&endpoint.name)
    }

    /// Whether `endpoint` has the model, version and adapter.
    pub fn is_loaded(&self, endpoint: &Endpoint) -> bool {
        let adapter = self.adapter.as_deref();
        endpoint.loaded.serves(&self.model, &self.version, adapter)
    }
}

/// A granted place.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Attempt that holds the place.
    pub attempt: AttemptId,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Address of the endpoint.
    pub address: String,
    /// Availability zone of the endpoint.
    pub zone: String,
    /// Pieces held.
    pub pieces: u32,
    /// Tokens that the owner believes to be in the endpoint's prefix cache.
    pub cached: u32,
}

/// Why nothing was granted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Denial {
    /// The receiver owns no usable endpoint of the pool.
    NotOwner,
    /// The line is full.
    Full,
    /// The time passed.
    Late,
    /// The daemon is stopping.
    Stopping,
}

/// End of a grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRelease {
    /// Attempt that held the place.
    pub attempt: AttemptId,
    /// Name of the endpoint.
    pub endpoint: String,
    /// What became of it.
    pub end: GrantEnd,
}

/// What became of a grant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GrantEnd {
    /// Ran to its end, with the time spent at the endpoint and the tokens computed or generated.
    Finished {
        /// Time at the endpoint.
        took: Duration,
        /// Tokens computed or generated.
        tokens: u32,
    },
    /// The prompt was computed; its KV cache is held until a second release.
    Computed {
        /// Time from the call to its answer.
        took: Duration,
        /// Tokens computed, without those found in the prefix cache.
        tokens: u32,
    },
    /// Never sent to the endpoint, or refused by it.
    Unused,
    /// Cancelled at the endpoint, which has confirmed it.
    Cancelled,
    /// Broke off; the owner must cancel the attempt until the endpoint confirms.
    Broken,
}

/// Question to the committer of a partition of claims.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimAsk {
    /// Takes the key, create-only.
    Take {
        /// Branch, kind and idempotency key.
        key: ClaimKey,
        /// Hash of the request's body.
        body: u64,
        /// Attempt that takes it.
        attempt: AttemptId,
        /// Time left until the answer is of no use.
        remaining: Duration,
    },
    /// Records how the claimed request ended.
    Finish {
        /// Branch, kind and idempotency key.
        key: ClaimKey,
        /// Attempt that took it.
        attempt: AttemptId,
        /// End of the request.
        end: ClaimEnd,
    },
}

/// What a claim is made for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// Branch.
    pub branch: String,
    /// Request kind.
    pub kind: String,
    /// Idempotency key sent by the caller.
    pub key: String,
}

/// How a claimed request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimEnd {
    /// Provably not run; the key may be taken again.
    NotRun,
    /// Answered with this status, content type and body.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type.
        content: String,
        /// Body, empty if it was too long to record.
        body: Vec<u8>,
        /// Whether the body was recorded whole.
        whole: bool,
    },
    /// Sent, outcome unknown for ever.
    Unknown,
}

/// Outcome of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The key belongs to the asking attempt, which may run.
    Taken,
    /// The end was recorded.
    Recorded,
    /// The key belongs to another attempt that has not ended.
    InProgress {
        /// Attempt that has it.
        holder: AttemptId,
    },
    /// The key was used with another body.
    Mismatch,
    /// The request ended before.
    Ended(ClaimEnd),
    /// The platform did not confirm in time and nothing was written.
    Unavailable,
}

/// Changes of the sheet from one revision to a later one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SheetChange {
    /// Revision that the change starts from; 0 if `branches` is the whole sheet.
    pub from: u64,
    /// Revision after the change.
    pub revision: u64,
    /// Rules of each changed branch; no rules when the branch is gone.
    pub branches: Vec<BranchRules>,
}

/// All rules of one branch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BranchRules {
    /// Branch.
    pub branch: String,
    /// Rules in row order.
    pub rules: Vec<Rule>,
}
