use {super::EndpointOption, crate::board::ServiceNews, std::time::Duration};

/// Time of work assumed at an endpoint that has not responded yet.
const INITIAL_WORK: Duration = Duration::from_millis(20);

/// Multiple of the time that a request takes within which others have taken the places of the requests that
/// a report counted.
const REPORT_WORK: f64 = 2.0;

/// Age of the reports in seconds at which their average would count for nothing; they end before, at
/// `MAX_NEWS_AGE`. A shorter time lets daemons take a full pool for one with room, a longer one keeps calls
/// waiting after a burst.
const MEAN_FADE_S: f64 = 4.0;

/// A plain service that may run a request, with its recent reports if it states how long work takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceOption {
    /// Figures that are known of every endpoint.
    pub option: EndpointOption,
    /// Recent reports; none if there are none, or they do not state how long work takes.
    pub news: Option<ServiceNews>,
}

impl ServiceOption {
    /// Returns the figures from which the load at later times follows; `None` without reports.
    pub fn estimate(&self) -> Option<ServiceEstimate> {
        let news = self.news?;
        let work_s = news.work.unwrap_or(INITIAL_WORK).as_secs_f64() * news.speed;
        Some(ServiceEstimate {
            work_s,
            own: self.option.own_work,
            mean_others: news.mean_others,
            excess: news.others - news.mean_others,
            age_s: news.age.as_secs_f64(),
            report_fade: 1.0 / (REPORT_WORK * work_s).max(f64::MIN_POSITIVE),
            slots: news.slots,
            limit: news.limit.map_or(f64::INFINITY, f64::from),
        })
    }
}

/// Figures of a plain service by its recent reports, in requests and seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceEstimate {
    /// Time that a request is expected to take without waiting.
    pub work_s: f64,
    /// Number of requests at which the endpoint turns others away; infinite while that is not known.
    pub limit: f64,
    own: f64,
    mean_others: f64,
    /// Requests of others by the last report beyond the average of reports.
    excess: f64,
    age_s: f64,
    /// Share of the excess that fades in a second.
    report_fade: f64,
    slots: f64,
}

impl ServiceEstimate {
    /// Returns the number of requests that are expected at the endpoint after the time `after_s`, if this
    /// process sends none until then.
    ///
    /// A report fades into the average of reports within `REPORT_WORK` times the time that a request takes,
    /// and the average to nothing at `MEAN_FADE_S`, so that an endpoint is asked again.
    pub fn requests(&self, after_s: f64) -> f64 {
        let age_s = self.age_s + after_s;
        let excess = self.excess * (1.0 - age_s * self.report_fade).max(0.0);
        let fading = (1.0 - age_s * (1.0 / MEAN_FADE_S)).max(0.0);
        self.own + (self.mean_others + excess) * fading
    }

    /// Returns for how many further requests the endpoint is expected to have room after the time `after_s`.
    pub fn room(&self, after_s: f64) -> f64 {
        (self.limit - self.requests(after_s)).max(0.0)
    }

    /// Returns the time that a request sent now is expected to take.
    fn completion_s(&self) -> f64 {
        self.work_s * (1.0 + self.requests(0.0) / self.slots)
    }
}

/// What keeps an endpoint from being chosen while there is one of a lower rank: that it was tried, is avoided,
/// is full.
type Rank = (bool, bool, bool);

/// Draws an endpoint with a weight that falls with the square of the time that the request is expected to
/// take there, so that many processes with the same reports do not all choose the same endpoint; `draw`
/// is a random number from 0 to less than 1.
///
/// An endpoint without reports counts as the average of the others. Returns `None` if none has any.
pub fn choose_by_completion(options: &[ServiceOption], draw: f64) -> Option<EndpointOption> {
    let mut candidates = Vec::with_capacity(options.len());
    let mut best = (true, true, true);
    let (mut sum, mut known) = (0.0, 0_u32);
    for option in options {
        let estimate = option.estimate();
        let EndpointOption { tried, avoided, .. } = option.option;
        let rank: Rank = (tried, avoided, estimate.is_some_and(|e| e.room(0.0) < 1.0));
        let time = estimate.map(|estimate| estimate.completion_s());
        best = best.min(rank);
        sum += time.unwrap_or_default();
        known += u32::from(time.is_some());
        candidates.push((option, rank, time));
    }
    if known == 0 {
        return None;
    }
    let mean = sum / f64::from(known);
    candidates.retain(|(_, rank, _)| *rank == best);
    // Each candidate with the sum of the weights up to it.
    let mut total = 0.0;
    let ends = candidates.into_iter().map(|(option, _, time)| {
        let time = time.unwrap_or(mean);
        total += 1.0 / (time * time * option.option.penalty()).max(f64::MIN_POSITIVE);
        (option, total)
    });
    let ends: Vec<_> = ends.collect();
    let drawn = ends.iter().find(|(_, end)| draw * total < *end);
    // Rounding may leave a rest behind the last one.
    drawn.or(ends.last()).map(|(chosen, _)| chosen.option)
}
