//! Checks that streams are not broken off around planned stops.

use {
    super::{
        daemon_process::GRACE_S,
        finding::{Finding, Guarantee},
        recorder::{CallerRequest, CallerResponse, History, RunEnd},
    },
    std::time::Duration,
};

/// Time after the grace time of a planned stop until which responses must still be whole.
const STOP_MARGIN: Duration = Duration::from_secs(1);

/// Time after the stop signal within which the end of the grace excuses what was sent.
const EARLY_TIME: Duration = Duration::from_secs(3);

impl History {
    /// Reports streams that end in the middle between a stop signal to their daemon and 1 s after its
    /// grace time. Allowed are those that a worker or its link has cut, those at the time-out of their
    /// route, and in the last sixth of the grace time those sent at most 3 s after the signal.
    pub(super) fn check_streams(&self) -> Vec<Finding> {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            let Some(response) = &request.response else {
                continue;
            };
            let begun = response.status == Some(200) && !response.complete;
            let timed_out = response.at >= request.sent + request.kind.timeout();
            let mut runs = self.runs.iter().filter(|run| run.request == *id);
            if !begun
                || timed_out
                || runs.any(|run| run.end == RunEnd::Cut)
                || !self.is_free_of_unplanned(&request.daemon, request.sent, response.at)
            {
                continue;
            }
            if let Some(stop) = self.stop_of(request, response) {
                let detail = format!(
                    "{id} sent to {} at {:.3}: broken off at {:.3}, {:.3} s after the stop signal",
                    request.daemon,
                    request.sent.as_secs_f64(),
                    response.at.as_secs_f64(),
                    response.at.saturating_sub(stop).as_secs_f64()
                );
                found.push(Finding::new(Guarantee::Lost, detail));
            }
        }
        found
    }

    /// Time of the stop signal during which the response had to be whole.
    fn stop_of(&self, request: &CallerRequest, response: &CallerResponse) -> Option<Duration> {
        let grace = Duration::from_secs(GRACE_S);
        let stops = self.stops.iter().filter(|(name, stop)| {
            let excused =
                request.sent <= *stop + EARLY_TIME && response.at >= *stop + grace * 5 / 6;
            *name == request.daemon
                && response.at >= *stop
                && response.at <= *stop + grace + STOP_MARGIN
                && !excused
        });
        stops.map(|(_, stop)| *stop).next_back()
    }
}
