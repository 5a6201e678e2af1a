use {
    crate::{board::RequestRate, key::CauseKey},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Chooses the engines of forwarded streams; the request path is generic over it.
pub trait Placer: Clone + Send + Sync + 'static {
    /// Requests a placement; the outcome may take some tenths of a second.
    fn place(&self, request: PlacementRequest) -> impl Future<Output = PlacementOutcome> + Send;

    /// Reports that a request no longer uses its placement, what it used and how it ended.
    fn end(&self, end: PlacementEnd);

    /// Reports how the run of a call at a plain service ended, and returns whether calls like it count as
    /// crash suspects, which are not retried. The reply may take up to a second; without one, no
    /// call is suspected.
    fn end_call(&self, end: CallEnd) -> impl Future<Output = bool> + Send;

    /// Returns the time for which requests to `pool` with one of `causes` are still refused, as they
    /// crash engines; `None` if they are not.
    fn refused(&self, pool: &str, causes: &[CauseKey]) -> Option<Duration>;
}

/// Request for a placement: an engine to decode and, unless it prefills locally, one to prefill.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementRequest {
    /// Number of the placement, unique among all daemons of the site.
    pub id: u64,
    /// Name of the pool.
    pub pool: String,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected number of tokens of the response.
    pub output_tokens: u64,
    /// Whether the response can no longer meet its target.
    pub late: bool,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Target time from the arrival to the first event.
    pub target: Duration,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// Hash of the name of the organisation that the request belongs to, if one is known.
    pub organisation: Option<u64>,
    /// Whether the prompt is to be computed by a prefill engine rather than locally.
    pub remote_prefill: bool,
    /// Names of the engines to avoid: those at which the request failed, and those that leave.
    pub avoid: Vec<String>,
    /// Names of the engines that the requester cannot reach or that do not respond.
    pub unreachable: Vec<String>,
    /// What may crash engines: the request itself and the parts of its prompt.
    pub causes: Vec<CauseKey>,
    /// Limits on the rate of requests that the requester heard of.
    pub limits: Vec<StatedLimit>,
}

/// Limit that an engine stated on the rate of the requests of all daemons together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatedLimit {
    /// Name of the engine.
    pub engine: String,
    /// Start time of the process that stated it, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The limit; `None` if the engine has ended an earlier one.
    pub rate: Option<RequestRate>,
    /// Time since the engine stated it.
    pub age: Duration,
}

/// Reply to a request for a placement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementReply {
    /// Outcome of the request.
    pub outcome: PlacementOutcome,
    /// Causes of crashes whose requests are refused at present, each with the time left.
    pub refused: Vec<(CauseKey, Duration)>,
}

/// What a daemon that begins to choose the placements of a pool takes over from another one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacerHandover {
    /// Name of the pool.
    pub pool: String,
    /// Requests of the other daemon that are placed.
    pub placements: Vec<ActivePlacement>,
    /// Causes of crashes whose requests the other daemon refuses, each with the time left.
    pub refused: Vec<(CauseKey, Duration)>,
    /// Crashes of the pool's endpoints that the other daemon saw.
    pub crashes: Vec<ReportedCrash>,
}

/// Crash of an endpoint that a daemon saw and reported.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedCrash {
    /// Name of the endpoint.
    pub endpoint: String,
    /// What may have crashed it.
    pub causes: Vec<CauseKey>,
    /// Time since the crash.
    pub age: Duration,
    /// Time for which the attempt had run.
    pub ran_for: Duration,
}

/// Decisions of a daemon on what crashes endpoints, for all other daemons.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalUpdate {
    /// Decisions on the requests of each pool.
    pub pools: Vec<PoolUpdate>,
}

/// Decisions on the requests of one pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolUpdate {
    /// Name of the pool.
    pub pool: String,
    /// Causes of crashes whose requests are refused, each with the time left.
    pub refused: Vec<(CauseKey, Duration)>,
    /// Causes that were refused and no longer are.
    pub cleared: Vec<CauseKey>,
}

/// Outcome of a request for a placement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlacementOutcome {
    /// The engines were chosen.
    Placed {
        /// Name of the engine that decodes.
        decode: String,
        /// Name of the engine that prefills; `None` if the decode engine prefills locally.
        prefill: Option<String>,
        /// Whether responses to the request broke off so often that it counts as a crash suspect
        /// and is not retried.
        suspect: bool,
    },
    /// No engine is free yet; request the placement again at once.
    Wait,
    /// Every engine is at the limit that it stated, the first one for this long: longer than the request
    /// can wait.
    Limited(Duration),
    /// Requests like this one crash engines, and are refused for this long.
    Refused(Duration),
    /// The receiver does not choose placements, or cannot be reached.
    Unavailable,
}

/// How the run of a request ended at its engine, as far as it tells what crashes engines.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunEnd {
    /// It says nothing: the request was not run, was cancelled, or its response did not arrive.
    Unknown,
    /// The engine broke off early, which counts as a crash.
    Crashed,
    /// The engine generated an answer.
    Answered,
}

/// A placed request, reported to the daemon that chooses the placements from now on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActivePlacement {
    /// The request for the placement.
    pub request: PlacementRequest,
    /// Name of the engine that decodes.
    pub decode: String,
    /// Time since the request was placed.
    pub running_for: Duration,
}

/// End of a call at a plain service, which needs no placement, as far as it tells what crashes endpoints.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallEnd {
    /// Name of the pool.
    pub pool: String,
    /// Name of the endpoint that ran the call.
    pub endpoint: String,
    /// What may crash endpoints: the call itself.
    pub causes: Vec<CauseKey>,
    /// How the run ended.
    pub run: RunEnd,
    /// Time for which it ran.
    pub ran_for: Duration,
}

/// Reply to the end of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallVerdict {
    /// Whether calls like it crashed so many endpoints that they are not retried.
    pub suspect: bool,
    /// Causes of crashes whose requests are refused at present, each with the time left.
    pub refused: Vec<(CauseKey, Duration)>,
}

/// End of a placement, and what the request used of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementEnd {
    /// Number of the placement.
    pub id: u64,
    /// Name of the pool.
    pub pool: String,
    /// Name of the engine that decodes.
    pub engine: String,
    /// What may crash engines: the request itself and the parts of its prompt.
    pub causes: Vec<CauseKey>,
    /// How the run ended.
    pub run: RunEnd,
    /// Time since the placement.
    pub ran_for: Duration,
    /// Whether the run generated the complete output.
    pub complete: bool,
    /// Number of tokens generated.
    pub generated_tokens: u64,
    /// Time from the first event to the last one.
    pub decode_time: Duration,
    /// Time that the prefill engine took for the prompt; zero if none was used.
    pub prefill_time: Duration,
}

impl CallEnd {
    /// Returns the crash that the end is, if it is one.
    pub fn crash(&self) -> ReportedCrash {
        ReportedCrash {
            endpoint: self.endpoint.clone(),
            causes: self.causes.clone(),
            age: Duration::ZERO,
            ran_for: self.ran_for,
        }
    }
}

impl PlacementEnd {
    /// Returns the crash that the end is, if it is one.
    pub fn crash(&self) -> ReportedCrash {
        ReportedCrash {
            endpoint: self.engine.clone(),
            causes: self.causes.clone(),
            age: Duration::ZERO,
            ran_for: self.ran_for,
        }
    }
}

impl PlacerHandover {
    /// Returns whether there is nothing to take over.
    pub fn is_empty(&self) -> bool {
        self.placements.is_empty() && self.refused.is_empty() && self.crashes.is_empty()
    }
}
