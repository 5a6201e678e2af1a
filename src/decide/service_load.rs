use {super::EndpointOption, crate::board::ServiceNews, std::time::Duration};

/// Time of work assumed at an endpoint that has not responded yet.
const INITIAL_WORK: Duration = Duration::from_millis(20);

/// Multiple of the time that a request takes within which others have taken the places of the requests that
/// a report counted.
const REPORT_WORK: f64 = 2.0;

/// Age of the reports at which their average would count for nothing; they end before, at `MAX_NEWS_AGE`. In
/// simulated bursts of three times the load, 2 s let daemons take a full pool for one with room, and 8 s
/// kept them waiting after its end.
const MEAN_FADE: Duration = Duration::from_secs(4);

/// A plain service that may run a request, with its recent reports if it states how long work takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceOption {
    /// Figures that are known of every endpoint.
    pub option: EndpointOption,
    /// Recent reports; none if there are none, or they do not state how long work takes.
    pub news: Option<ServiceNews>,
}

impl ServiceOption {
    /// Returns the time that a request is expected to take without waiting; `None` without reports.
    pub fn work(&self) -> Option<Duration> {
        let news = self.news?;
        Some(news.work.unwrap_or(INITIAL_WORK).mul_f64(news.speed))
    }

    /// Returns the number of requests that are expected at the endpoint after the time `after`, if this
    /// process sends none until then; `None` without reports.
    ///
    /// A report fades into the average of reports within `REPORT_WORK` times the time that a request takes,
    /// and the average to nothing at `MEAN_FADE`, so that an endpoint is asked again.
    pub fn requests(&self, after: Duration) -> Option<f64> {
        let news = self.news?;
        let age = (news.age + after).as_secs_f64();
        let valid = REPORT_WORK * self.work()?.as_secs_f64().max(f64::MIN_POSITIVE);
        let share = (1.0 - age / valid).max(0.0);
        let others = news.mean_others + (news.others - news.mean_others) * share;
        let fading = (1.0 - age / MEAN_FADE.as_secs_f64()).max(0.0);
        Some(self.option.own_work + others * fading)
    }

    /// Returns the time that a request sent now is expected to take; `None` without reports.
    pub fn completion(&self) -> Option<Duration> {
        let fill = self.requests(Duration::ZERO)? / self.news?.slots;
        Some(self.work()?.mul_f64(1.0 + fill))
    }

    /// Returns for how many further requests the endpoint is expected to have room after the time
    /// `after`; `None` if its limit or its load is not known.
    pub fn room(&self, after: Duration) -> Option<f64> {
        let limit = f64::from(self.news?.limit?);
        Some((limit - self.requests(after)?).max(0.0))
    }

    /// Returns whether the endpoint is expected to turn a request away.
    pub fn is_full(&self) -> bool {
        self.room(Duration::ZERO).is_some_and(|room| room < 1.0)
    }
}

/// What the draw takes into account of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// What keeps the endpoint from being chosen while there is one of a lower rank: that it was tried,
    /// is avoided, is full.
    rank: (bool, bool, bool),
    /// Expected time of the request in seconds; none without reports.
    time: Option<f64>,
}

impl Candidate {
    fn new(option: &ServiceOption) -> Self {
        let EndpointOption { tried, avoided, .. } = option.option;
        let time = option.completion();
        Self {
            rank: (tried, avoided, option.is_full()),
            time: time.map(|time| time.as_secs_f64()),
        }
    }
}

/// Draws an endpoint with a weight that falls with the square of the time that the request is expected to
/// take there, so that many processes with the same reports do not all choose the same endpoint; `draw`
/// is a random number from 0 to less than 1.
///
/// An endpoint without reports counts as the average of the others. Returns `None` if none has any.
pub fn choose_by_completion(options: &[ServiceOption], draw: f64) -> Option<EndpointOption> {
    let candidates: Vec<_> = options.iter().map(Candidate::new).collect();
    let known = || candidates.iter().filter_map(|candidate| candidate.time);
    let mean = known().sum::<f64>() / known().count() as f64;
    if mean.is_nan() {
        return None;
    }
    let best = candidates.iter().map(|candidate| candidate.rank).min()?;
    let weight = |(candidate, option): (&Candidate, &ServiceOption)| {
        let time = candidate.time.unwrap_or(mean);
        let cost = time * time * option.option.penalty();
        let drawn = candidate.rank == best;
        if drawn {
            1.0 / cost.max(f64::MIN_POSITIVE)
        } else {
            0.0
        }
    };
    let pairs = || candidates.iter().zip(options);
    let total: f64 = pairs().map(weight).sum();
    let mut left = draw * total;
    let drawn = pairs().find(|pair| {
        left -= weight(*pair);
        left < 0.0 && pair.0.rank == best
    });
    // Rounding may leave a rest behind the last one.
    let last = || pairs().rfind(|(candidate, _)| candidate.rank == best);
    drawn.or_else(last).map(|(_, chosen)| chosen.option)
}
