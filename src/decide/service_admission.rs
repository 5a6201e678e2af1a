use {
    super::{ServiceEstimate, ServiceOption},
    crate::board::MAX_NEWS_AGE,
    std::time::Duration,
};

/// Share of the endpoints' limits that a request which cannot meet its target any more leaves to others, so
/// that late requests do not take the place of ones that would be in time.
const LATE_RESERVE: f64 = 0.1;

/// Multiple of the expected time of work that must be left after a wait: the time varies from one request
/// to the next, and the endpoint may have a queue.
const WORK_MARGIN: f64 = 2.0;

/// Steps of the search for the time at which there is room, each of which halves its error; 2 s / 2^9 is
/// 4 ms, about the time in which a worker of 6 slots completes a request.
const SEARCH_STEPS: u32 = 9;

/// A request that asks to be sent to a pool of plain services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionNeed {
    /// Number of waiting requests of this process that go first.
    pub ahead: usize,
    /// Time left until the target.
    pub to_target: Duration,
    /// Time left until the deadline.
    pub to_deadline: Duration,
}

/// What becomes of a request that asks to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceAdmission {
    /// It is sent: there is room, or nothing is known of it.
    Send,
    /// It waits: there is expected to be room after this time, early enough.
    Wait(Duration),
    /// It is refused: the time until there is room is too long, or that to the deadline too short.
    Refuse(Duration),
}

/// Decides whether a request is sent to one of `options` now, waits, or is refused.
///
/// Endpoints whose limit or load is not known have room for any number of requests.
pub fn admit_service(options: &[ServiceOption], need: &AdmissionNeed) -> ServiceAdmission {
    let Some(work) = shortest_work(options) else {
        return ServiceAdmission::Send;
    };
    let late = need.to_target < work;
    if late && need.to_deadline < work {
        return ServiceAdmission::Refuse(Duration::ZERO);
    }
    let Some(usable) = limited(options) else {
        return ServiceAdmission::Send;
    };
    let limit: f64 = usable.iter().map(|estimate| estimate.limit).sum();
    let reserve = if late { LATE_RESERVE * limit } else { 0.0 };
    let wanted = need.ahead as f64 + 1.0 + reserve;
    let has_room = |after_s| room(&usable, after_s) >= wanted;
    if has_room(0.0) {
        return ServiceAdmission::Send;
    }
    let wait = time_until(has_room);
    let left = if late {
        need.to_deadline
    } else {
        need.to_target
    };
    if wait + work.mul_f64(WORK_MARGIN) <= left {
        ServiceAdmission::Wait(wait)
    } else {
        ServiceAdmission::Refuse(wait)
    }
}

/// Returns the shortest time that a request is expected to take at one of `options` without waiting; `None`
/// if none of them reports it.
pub fn shortest_work(options: &[ServiceOption]) -> Option<Duration> {
    let estimates = options.iter().filter_map(ServiceOption::estimate);
    let shortest = estimates.map(|estimate| estimate.work_s).reduce(f64::min);
    shortest.map(Duration::from_secs_f64)
}

/// Returns the figures of the endpoints that are neither avoided nor tried; `None` if there are none, or if the
/// load or the limit of one is not known.
fn limited(options: &[ServiceOption]) -> Option<Vec<ServiceEstimate>> {
    let mut estimates = Vec::with_capacity(options.len());
    for option in options {
        if !option.option.avoided && !option.option.tried {
            let estimate = option.estimate()?;
            estimates.push(estimate);
            if estimate.limit.is_infinite() {
                return None;
            }
        }
    }
    (!estimates.is_empty()).then_some(estimates)
}

/// Returns for how many further requests the endpoints together have room after the time `after_s`. Less than
/// the room for one request at an endpoint is none.
fn room(estimates: &[ServiceEstimate], after_s: f64) -> f64 {
    let rooms = estimates.iter().map(|e| u64::from(e.room(after_s) as u32));
    rooms.sum::<u64>() as f64
}

/// Returns the shortest time after which `has_room`, or `MAX_NEWS_AGE` at which reports no longer count.
fn time_until<F>(has_room: F) -> Duration
where
    F: Fn(f64) -> bool,
{
    let (mut without, mut with) = (0.0, MAX_NEWS_AGE.as_secs_f64());
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(without, with);
        if has_room(middle) {
            with = middle;
        } else {
            without = middle;
        }
    }
    Duration::from_secs_f64(with)
}
