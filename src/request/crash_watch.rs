use {
    super::{EndpointHold, ForwardCall, ForwardParts, ForwardShared},
    crate::{
        board::Tick,
        port::{CallEnd, Placer, RunEnd, UpstreamError},
    },
    std::time::Duration,
};

/// Watches whether a call at a plain service crashes the endpoints that run it.
///
/// One daemon sees few of the calls that are alike, so the crashes are counted by the daemon that also
/// chooses the placements of streams. At-most-once calls are counted too: they are not retried, but come again
/// from their callers.
#[derive(Debug)]
pub struct CrashWatch<'a, P>
where
    P: ForwardParts,
{
    shared: &'a ForwardShared<P>,
    call: &'a mut ForwardCall,
}

impl<'a, P> CrashWatch<'a, P>
where
    P: ForwardParts,
{
    /// Prepares to watch `call`.
    pub fn new(shared: &'a ForwardShared<P>, call: &'a mut ForwardCall) -> Self {
        Self { shared, call }
    }

    /// Returns the time for which calls like this one are refused; `None` if they are not.
    pub fn refused(&self) -> Option<Duration> {
        let placer = self.shared.parts().placer();
        placer.refused(&self.call.pool, &self.call.causes)
    }

    /// Records that the attempt at `hold`, which was sent at `sent`, failed with `error`. A response that broke
    /// off counts as a crash, unless calls like this one were answered lately: a lost response says nothing
    /// then.
    pub async fn attempt_failed(self, hold: &EndpointHold, error: &UpstreamError, sent: Tick) {
        let broken = matches!(error, UpstreamError::Broken(_));
        if !broken || self.was_answered_lately() {
            return;
        }
        self.call.crashed = true;
        let end = self.end(hold, RunEnd::Crashed, self.shared.now() - sent);
        if self.call.is_at_most_once() {
            // There is no retry that depends on the verdict.
            self.report(end);
        } else {
            let suspect = self.shared.parts().placer().end_call(end).await;
            self.call.suspect |= suspect;
        }
    }

    /// Records that the endpoint of `hold` answered, so that the call does not crash endpoints.
    pub fn answered(self, hold: &EndpointHold) {
        let now = self.shared.now();
        for cause in &self.call.causes {
            self.shared.answered_calls().record(*cause, now);
        }
        if self.call.crashed {
            let end = self.end(hold, RunEnd::Answered, Duration::ZERO);
            self.report(end);
        }
    }

    /// Reports the end of a run without waiting for the verdict.
    fn report(&self, end: CallEnd) {
        let placer = self.shared.parts().placer().clone();
        self.shared.spawn(async move {
            placer.end_call(end).await;
        });
    }

    fn was_answered_lately(&self) -> bool {
        let now = self.shared.now();
        let answered = self.shared.answered_calls();
        let mut causes = self.call.causes.iter();
        causes.any(|cause| answered.is_recent(*cause, now))
    }

    fn end(&self, hold: &EndpointHold, run: RunEnd, ran_for: Duration) -> CallEnd {
        CallEnd {
            pool: self.call.pool.clone(),
            endpoint: hold.name.clone(),
            causes: self.call.causes.clone(),
            run,
            ran_for,
        }
    }
}
