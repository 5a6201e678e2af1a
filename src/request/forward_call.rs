use {
    super::{EndpointHold, ForwardParts, ForwardShared, stream_times::StreamTimes},
    crate::{
        board::{PathRoute, QuotaHold, Repeat, Tick},
        decide::{
            AttemptState, CallOrganisation, Chance, Failure, RetryBudget, Verdict, after_failure,
            engine_priority,
        },
        key::{CauseKey, EndpointKey},
        port::{CallerIdentity, ForwardRequest, UpstreamError, UpstreamRequest},
    },
    std::{sync::Arc, time::Duration},
};

/// State of a forwarded request: its route, its deadline and the attempts made so far.
#[derive(Clone, Debug)]
pub struct ForwardCall {
    /// Request as the front end received it.
    pub request: Arc<ForwardRequest>,
    /// Route in force when the request arrived.
    pub route: PathRoute,
    /// Version of the routing configuration that holds the route.
    pub version: u64,
    /// Version of the routing configuration by which the caller was last admitted.
    pub admitted_by: u64,
    /// Organisation that the request belongs to, if one is known.
    pub organisation: Option<CallOrganisation>,
    /// Priority, 0 is the most urgent; that of the organisation goes before that of the route.
    pub priority: u8,
    /// As whom an endpoint gets to know the caller.
    pub identity: CallerIdentity,
    /// Cost of the request within the quota of its organisation; `None` without a quota.
    pub cost: Option<u64>,
    /// Credit reserved for the request, or used by it.
    pub credit: Option<Arc<QuotaHold>>,
    /// Name of the pool that the request goes to.
    pub pool: String,
    /// Time of arrival.
    pub arrived: Tick,
    /// Time by which the response must be complete.
    pub deadline: Tick,
    /// Whether so much of the caller's time has passed that the response cannot meet its target.
    pub late: bool,
    /// What may crash engines: the request by the hash of method, host, target and body, which is the same
    /// when it is sent again, and the parts of its prompt.
    pub causes: Vec<CauseKey>,
    /// Whether so many engines broke off while they ran the request that it is not retried.
    pub suspect: bool,
    /// Whether an endpoint broke off while it ran the call, which counts as a crash.
    pub crashed: bool,
    /// Endpoints that attempts were sent to.
    pub tried: Vec<EndpointKey>,
    /// Number of attempts that endpoints turned away as full, which may be asked again.
    pub turned_away: usize,
    /// Number of attempts that ran or may have run.
    pub ran: u16,
    /// Where the time of a stream went; unused for other requests.
    pub times: StreamTimes,
}

impl ForwardCall {
    /// Whether at most one endpoint may start to run the request.
    pub fn is_at_most_once(&self) -> bool {
        self.route.repeat == Repeat::AtMostOnce
    }

    /// Returns the number of attempts.
    pub fn attempts(&self) -> usize {
        self.tried.len() + self.turned_away
    }

    /// Builds an attempt at `hold`, without KV cache, reservation and last event.
    pub fn upstream_request<P>(
        &self,
        shared: &ForwardShared<P>,
        hold: &EndpointHold,
    ) -> UpstreamRequest
    where
        P: ForwardParts,
    {
        let options = shared.options();
        // A long idle connection may be closing, and a request that is lost on it may have run.
        let idle = if self.is_at_most_once() {
            options.max_idle
        } else {
            Duration::MAX
        };
        let routing = shared.board().routing.load();
        let urgent = routing.urgent.get(&self.pool);
        UpstreamRequest {
            request: Arc::clone(&self.request),
            address: hold.address.clone(),
            endpoint: hold.name.clone(),
            time_left: shared.left(self.deadline),
            connect_timeout: options.connect_timeout,
            max_idle: idle,
            cache: None,
            reservation: None,
            resume_after: None,
            identity: self.identity.clone(),
            priority: urgent.map(|urgent| engine_priority(self.priority, *urgent)),
        }
    }

    /// Whether another endpoint may run the request after one that may have run it.
    pub fn may_repeat(&self) -> bool {
        !self.is_at_most_once() && self.ran < self.route.attempts
    }

    /// Whether another endpoint may run the request after `more` further attempts that may run it.
    pub fn may_repeat_after(&self, more: u16) -> bool {
        !self.is_at_most_once() && self.ran + more < self.route.attempts
    }

    /// Whether another attempt may take the place of the running one, which may have run.
    pub fn may_be_replaced(&self) -> bool {
        self.may_repeat_after(1) && !self.suspect
    }

    /// Decides what follows the attempt that `error` ended; a retry is spent from `budget`.
    ///
    /// Counts the attempt in `ran` if it may have run.
    pub fn after_failure(
        &mut self,
        error: &UpstreamError,
        past_deadline: bool,
        budget: &RetryBudget,
    ) -> Verdict {
        let state = AttemptState::from(error);
        if !error.is_not_run() {
            self.ran += 1;
        }
        let may_have_run = self.ran > 0;
        let spent = may_have_run && self.ran >= self.route.attempts;
        let chance = if past_deadline {
            Chance::DeadlinePassed
        } else if self.suspect && may_have_run && !spent {
            Chance::Suspect
        } else {
            Chance::Available
        };
        let mut failure = Failure {
            state,
            may_have_run,
            repeat: self.route.repeat,
            chance,
        };
        let verdict = after_failure(failure);
        // An attempt that was never sent put no load on the endpoints, so its retry is free.
        let free = state == AttemptState::Unsent;
        if verdict == Verdict::Retry && (spent || !(free || budget.spend())) {
            failure.chance = Chance::BudgetSpent;
            return after_failure(failure);
        }
        verdict
    }
}
