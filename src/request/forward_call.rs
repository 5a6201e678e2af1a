use {
    super::{EndpointHold, ForwardParts, ForwardShared},
    crate::{
        board::{PathRoute, Repeat, Tick},
        decide::{AttemptState, Chance, Failure, RetryBudget, Verdict, after_failure},
        key::EndpointKey,
        port::{ForwardRequest, UpstreamAsk, UpstreamError},
    },
    std::{sync::Arc, time::Duration},
};

/// A forwarded request on its way: its route, its time and what was tried.
#[derive(Debug)]
pub struct ForwardCall {
    /// The request.
    pub request: Arc<ForwardRequest>,
    /// Route that was in force when it arrived.
    pub route: PathRoute,
    /// Version of the routing that the route is of.
    pub version: u64,
    /// Pool that it goes to.
    pub pool: String,
    /// When it arrived.
    pub arrived: Tick,
    /// When its answer must be final.
    pub deadline: Tick,
    /// Whether so much of the caller's time has passed that the answer cannot be in time.
    pub late: bool,
    /// Fingerprint of host, path and body.
    pub print: u64,
    /// Whether engines have broken off under it so often that it is not retried.
    pub suspect: bool,
    /// Endpoints that it was sent to.
    pub tried: Vec<EndpointKey>,
    /// Attempts that ran or may have run.
    pub ran: u16,
}

impl ForwardCall {
    /// Whether no more than one endpoint may begin to run the request.
    pub fn is_once(&self) -> bool {
        self.route.repeat == Repeat::AtMostOnce
    }

    /// An attempt at `hold`, without a cache, a place or events to go on from.
    pub fn ask<P>(&self, shared: &ForwardShared<P>, hold: &EndpointHold) -> UpstreamAsk
    where
        P: ForwardParts,
    {
        let options = shared.options();
        // A connection that was idle for long may be closing, and what is lost on it may have run.
        let idle = if self.is_once() {
            options.fresh
        } else {
            Duration::MAX
        };
        UpstreamAsk {
            request: Arc::clone(&self.request),
            address: hold.address.clone(),
            endpoint: hold.name.clone(),
            left: shared.left(self.deadline),
            connect: options.connect,
            idle,
            cache: None,
            place: None,
            resume: None,
        }
    }

    /// Whether another endpoint may run the request after one that may have run it.
    pub fn may_repeat(&self) -> bool {
        !self.is_once() && self.ran < self.route.attempts
    }

    /// Whether another endpoint may run the request once `more` have run it.
    pub fn may_repeat_after(&self, more: u16) -> bool {
        !self.is_once() && self.ran + more < self.route.attempts
    }

    /// Decides what follows a failed attempt; takes a further one from `budget`.
    pub fn after(&mut self, error: &UpstreamError, late: bool, budget: &RetryBudget) -> Verdict {
        let state = AttemptState::from(error);
        if !error.is_not_run() {
            self.ran += 1;
        }
        let tainted = self.ran > 0;
        let spent = tainted && self.ran >= self.route.attempts;
        let chance = if late {
            Chance::Late
        } else if self.suspect && tainted {
            Chance::Suspect
        } else {
            Chance::Open
        };
        let mut failure = Failure {
            state,
            tainted,
            repeat: self.route.repeat,
            chance,
        };
        let verdict = after_failure(failure);
        // What never left this host is no load on the endpoints.
        let free = state == AttemptState::Unsent;
        if verdict == Verdict::Retry && (spent || !(free || budget.spend())) {
            failure.chance = Chance::Spent;
            return after_failure(failure);
        }
        verdict
    }
}
