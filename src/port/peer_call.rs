use {
    super::{
        CallEnd, CallVerdict, FeedCompare, FeedRead, FeedReply, PlacementEnd, PlacementReply,
        PlacementRequest, PlacerHandover, QuotaReply, QuotaReport, RefusalUpdate,
    },
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
    /// Heartbeat with the sender's state and the updates that it passes on.
    Heartbeat(Heartbeat),
    /// Makes the receiver probe a third host on behalf of the sender.
    Probe {
        /// Address of the peer listener to probe, `ip:port`.
        address: String,
    },
    /// Requests a grant at one of the endpoints that the receiver owns; waits in its queue.
    Acquire(GrantRequest),
    /// Releases a grant.
    Release(GrantRelease),
    /// Withdraws a waiting `Acquire`, or releases the grant if it was already made.
    Withdraw(AttemptId),
    /// Requests the changes of the sheet (routing configuration) since a revision.
    Sheet {
        /// Revision that the sender has.
        since: u64,
    },
    /// Requests that the committer of a partition records a claim.
    Claim(ClaimRequest),
    /// Requests the receiver's own status.
    Status,
    /// Requests the placement of a forwarded stream; may wait for some tenths of a second.
    Place(PlacementRequest),
    /// Hands over to a daemon that begins to place the streams of a pool.
    AdoptPlacements(PlacerHandover),
    /// Releases the placement of a stream.
    EndPlacement(PlacementEnd),
    /// Requests what the receiver has read from a feed of the store; may wait for a change.
    ReadFeed(FeedRead),
    /// Reports how the run of a call at a plain service ended.
    EndCall(CallEnd),
    /// Notifies the receiver of the causes of crashes that the sender refuses.
    RefuseCauses(RefusalUpdate),
    /// Requests what differs in the receiver's list of a feed of the store; the reply is `Feed`.
    CompareFeed(FeedCompare),
    /// Reports what the sender used and needs of the quotas of organisations, to their accountant.
    ReportQuota(QuotaReport),
}

/// Reply to a `PeerCall`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// Reply to a heartbeat.
    Heartbeat(Heartbeat),
    /// The call was carried out; the reply holds no data.
    Done,
    /// The grant that was requested.
    Granted(Grant),
    /// Nothing was granted, and the attempt holds nothing.
    Denied(Denial),
    /// Changes of the sheet since the requested revision.
    Sheet(SheetChange),
    /// Outcome of a claim.
    Claim(ClaimOutcome),
    /// Status of the receiver as a JSON document.
    Status(String),
    /// The call could not be handled; the text says why.
    Failed(String),
    /// Outcome of a request for a placement.
    Placement(PlacementReply),
    /// What the receiver has read from a feed.
    Feed(FeedReply),
    /// Whether calls like the one that ended are suspected of crashing endpoints.
    CallVerdict(CallVerdict),
    /// Credit within the quotas of organisations.
    Quota(QuotaReply),
}

/// State and updates that daemons send each other at every heartbeat interval; its size is bounded.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Name of the sender's host.
    pub host: String,
    /// Start time of the sender's daemon in milliseconds since the Unix epoch; 0 in a call requests
    /// a large part of the members in the reply.
    pub incarnation: u64,
    /// Revision of the sheet that the sender has in force.
    pub revision: u64,
    /// Membership updates that the sender passes on.
    pub members: Vec<MemberUpdate>,
    /// Load of the endpoints that the sender owns; empty unless the receiver is in the same zone.
    pub digests: Vec<EndpointUpdate>,
    /// Suspected requests that the sender passes on.
    pub suspects: Vec<SuspectUpdate>,
}

/// State of a member, as far as the sender knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// Name of the host.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the peer listener, `ip:port`.
    pub address: String,
    /// Start time of the daemon in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of suspicions that this incarnation has refuted.
    pub refutations: u32,
    /// State in the membership protocol.
    pub state: HostState,
}

/// Load of an endpoint as its owner sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointUpdate {
    /// Stable hash of the endpoint's name.
    pub endpoint: u64,
    /// Pieces of engine memory that are neither granted nor in use; free slots for a plain service.
    pub free: u32,
    /// Number of running attempts.
    pub running: u32,
    /// Number of requests that wait for the endpoint.
    pub waiting: u32,
}

/// A request suspected of crashing endpoints.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectUpdate {
    /// Fingerprint of branch, kind and body.
    pub fingerprint: u64,
    /// Names of the endpoints that crashed while running it.
    pub endpoints: Vec<String>,
    /// Whether the request is refused everywhere.
    pub refused: bool,
    /// Time left until the suspicion expires.
    pub remaining: Duration,
}

/// Request to an owner for a grant at one of its endpoints.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantRequest {
    /// Attempt that will hold the grant.
    pub attempt: AttemptId,
    /// Role of the endpoint.
    pub role: Role,
    /// Name of the pool.
    pub pool: String,
    /// Name of the model that the endpoint must have loaded, empty for a plain service.
    pub model: String,
    /// Version of the model, empty for a plain service.
    pub version: String,
    /// Name of the adapter that the endpoint must have loaded, if any.
    pub adapter: Option<String>,
    /// Name of the branch, for fair queueing among branches.
    pub branch: String,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// Pieces of engine memory that the attempt is expected to hold.
    pub pieces: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub output_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first, see docs/ENDPOINTS.md.
    pub prefixes: Vec<u64>,
    /// Time left until the first token is due.
    pub first_token: Duration,
    /// Target time between tokens of the rule.
    pub per_token: Duration,
    /// Time left in which the request may start.
    pub remaining: Duration,
    /// Names of the endpoints to avoid.
    pub avoid: Vec<String>,
    /// Whether the request may have crashed an endpoint. An owner runs at most one such request at
    /// an endpoint at once, so that a second crash shows which of the suspects caused it.
    pub suspect: bool,
}

impl GrantRequest {
    /// Returns whether the attempt may run at `endpoint`.
    pub fn may_run_at(&self, endpoint: &Endpoint) -> bool {
        self.allows(endpoint) && self.is_loaded_at(endpoint)
    }

    /// Returns whether the attempt may run at `endpoint`, whatever the endpoint has loaded.
    pub fn allows(&self, endpoint: &Endpoint) -> bool {
        endpoint.role == self.role && !endpoint.draining && !self.avoid.contains(&endpoint.name)
    }

    /// Returns whether `endpoint` has loaded the model, its version and the adapter.
    pub fn is_loaded_at(&self, endpoint: &Endpoint) -> bool {
        let adapter = self.adapter.as_deref();
        endpoint.loaded.serves(&self.model, &self.version, adapter)
    }
}

/// A grant of memory, or of a slot of a plain service, at one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Attempt that holds the grant.
    pub attempt: AttemptId,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Address of the endpoint, `ip:port`.
    pub address: String,
    /// Availability zone of the endpoint.
    pub zone: String,
    /// Pieces of engine memory granted.
    pub pieces: u32,
    /// Number of prompt tokens that the owner believes to be in the endpoint's prefix cache.
    pub cached: u32,
}

/// Why nothing was granted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Denial {
    /// The receiver owns no endpoint of the pool that may run the attempt.
    NotOwner,
    /// The queue is full.
    Full,
    /// The request could no longer start in time.
    Late,
    /// The daemon is stopping.
    Stopping,
}

/// End of a grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRelease {
    /// Attempt that held the grant.
    pub attempt: AttemptId,
    /// Name of the endpoint.
    pub endpoint: String,
    /// How the grant ended.
    pub end: GrantEnd,
}

/// How a grant ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GrantEnd {
    /// The attempt ran to its end.
    Finished {
        /// Time that the attempt spent at the endpoint.
        took: Duration,
        /// Number of tokens computed or generated.
        tokens: u32,
    },
    /// The prompt was computed; its KV cache stays granted until a second release.
    Computed {
        /// Time from the request to its response.
        took: Duration,
        /// Number of tokens computed, without those found in the prefix cache.
        tokens: u32,
    },
    /// The attempt was not sent to the endpoint, or the endpoint refused it.
    Unused,
    /// The attempt was cancelled, and the endpoint has confirmed that.
    Cancelled,
    /// The response broke off; the owner must send cancels until the endpoint confirms one.
    Broken,
}

/// Request to the committer of a partition of claims (idempotency records).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimRequest {
    /// Takes the key, if no other attempt has taken it.
    Take {
        /// Branch, kind and idempotency key.
        key: ClaimKey,
        /// Hash of the request's body.
        body_hash: u64,
        /// Attempt that takes it.
        attempt: AttemptId,
        /// Time left until the requester stops waiting for the outcome.
        remaining: Duration,
    },
    /// Records how the claimed request ended.
    Finish {
        /// Branch, kind and idempotency key.
        key: ClaimKey,
        /// Attempt that took it.
        attempt: AttemptId,
        /// How the request ended.
        end: ClaimEnd,
    },
}

/// Key of a claim.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// Name of the branch.
    pub branch: String,
    /// Request kind.
    pub kind: String,
    /// Idempotency key sent by the caller.
    pub key: String,
}

/// How a claimed request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimEnd {
    /// The request provably did not run; the key may be taken again.
    NotRun,
    /// A response was received from the endpoint.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type of the body, empty if the response stated none.
        content_type: String,
        /// Body of the response, empty if it was too long to record.
        body: Vec<u8>,
        /// Whether the complete body was recorded.
        complete: bool,
    },
    /// The request was sent, and whether it ran will never be known.
    Unknown,
}

/// Outcome of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The requesting attempt has taken the key and may run.
    Taken,
    /// The end of the request was recorded.
    Recorded,
    /// Another attempt, which has not ended, has taken the key.
    InProgress {
        /// Attempt that has taken the key.
        holder: AttemptId,
    },
    /// The key was already used with another body.
    Mismatch,
    /// The request has already ended.
    Ended(ClaimEnd),
    /// The claim was not confirmed in time: the requesting attempt must not run, although the
    /// record may still be written.
    Unavailable,
}

/// Changes of the sheet from one revision to a later one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SheetChange {
    /// Revision that the change starts from; 0 if `branches` is the complete sheet.
    pub from: u64,
    /// Revision after the change.
    pub revision: u64,
    /// Rules of each changed branch; a removed branch has none.
    pub branches: Vec<BranchRules>,
}

/// All rules of one branch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BranchRules {
    /// Name of the branch.
    pub branch: String,
    /// Rules in row order.
    pub rules: Vec<Rule>,
}
