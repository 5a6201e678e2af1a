//! Checks that daemons heed what workers say of themselves in responses.

use {
    super::{
        finding::{Finding, Guarantee},
        recorder::History,
        worker_stand_in::DRAIN_TIME,
    },
    std::{collections::HashMap, time::Duration},
};

/// Time that a refusal which asks for no further requests takes to be heeded.
const PAUSE_SLACK: Duration = Duration::from_millis(500);

/// Requests of one daemon that may reach a worker which asked for none.
const MAX_PAUSED_REQUESTS: usize = 2;

impl History {
    /// Reports requests to a worker from a daemon that had passed on its response, by which it said
    /// that it leaves, for longer than the drain time. Only an end or a suspension excuses the daemon.
    pub(super) fn check_notices(&self) -> Vec<Finding> {
        let counts = self.count_runs();
        let mut told = HashMap::<(&str, &str), Duration>::new();
        for run in &self.runs {
            let drained = self.drains.get(&run.worker);
            let request = self.requests.get(&run.request);
            if let (Some(drained), Some(request)) = (drained, request)
                && let Some(response) = &request.response
                && response.stamped
                && run.began > *drained
                && counts.get(run.request.as_str()) == Some(&1)
            {
                let told = told.entry((request.daemon.as_str(), run.worker.as_str()));
                let told = told.or_insert(response.at);
                *told = (*told).min(response.at);
            }
        }
        let late = self.runs.iter().filter_map(|run| {
            let request = self.requests.get(&run.request)?;
            let told = told.get(&(request.daemon.as_str(), run.worker.as_str()))?;
            let late = request.sent > *told + DRAIN_TIME
                && self.is_free_of(&request.daemon, *told, run.began, |d| d.stopped);
            late.then(|| {
                let detail = format!(
                    "{} at {} {:?}, which told {} at {told:?}",
                    run.request, run.worker, run.began, request.daemon
                );
                Finding::new(Guarantee::Drain, detail)
            })
        });
        late.collect()
    }

    /// Reports workers that got more than two requests (`MAX_PAUSED_REQUESTS`) from a daemon between
    /// half a second after they asked it for none and the end of the time that they stated.
    pub(super) fn check_pauses(&self) -> Vec<Finding> {
        let mut found = Vec::new();
        for pause in &self.pauses {
            let Some(refused) = self.requests.get(&pause.request) else {
                continue;
            };
            let daemon = &refused.daemon;
            let reached = self.arrivals.iter().filter(|arrival| {
                let request = self.requests.get(&arrival.request);
                arrival.worker == pause.worker
                    && request.is_some_and(|request| request.daemon == *daemon)
                    && !arrival.faulty_link
                    && arrival.at > pause.from + PAUSE_SLACK
                    && arrival.at < pause.until
            });
            let reached = reached.count();
            if reached > MAX_PAUSED_REQUESTS && self.is_undisturbed(daemon, pause.from, pause.until)
            {
                let from = pause.from;
                let detail = format!("{reached} from {daemon} to {} after {from:?}", pause.worker);
                found.push(Finding::new(Guarantee::Pause, detail));
            }
        }
        found
    }
}
