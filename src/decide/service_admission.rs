use {super::ServiceOption, crate::board::MAX_NEWS_AGE, std::time::Duration};

/// Share of the endpoints' limits that a request which cannot meet its target any more leaves to others. In
/// simulated overload, without it late requests took the place of as many that would have been in time.
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
    let reserve = if late {
        LATE_RESERVE * total_limit(options)
    } else {
        0.0
    };
    let wanted = need.ahead as f64 + 1.0 + reserve;
    let has_room = |after| room(options, after).is_none_or(|room| room >= wanted);
    if has_room(Duration::ZERO) {
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
    options.iter().filter_map(ServiceOption::work).min()
}

/// Returns the sum of the limits that are known.
fn total_limit(options: &[ServiceOption]) -> f64 {
    let limits = options.iter().filter_map(|option| option.news?.limit);
    limits.map(f64::from).sum()
}

/// Returns for how many further requests the endpoints that are neither avoided nor tried together have room
/// after the time `after`; `None` if that is not known of one, or there are none.
///
/// Less than the room for one request at an endpoint is none.
fn room(options: &[ServiceOption], after: Duration) -> Option<f64> {
    let is_usable = |option: &&ServiceOption| !option.option.avoided && !option.option.tried;
    let mut usable = options.iter().filter(is_usable).peekable();
    usable.peek()?;
    usable.map(|option| Some(option.room(after)?.floor())).sum()
}

/// Returns the shortest time after which `has_room`, which holds once reports no longer count.
fn time_until<F>(has_room: F) -> Duration
where
    F: Fn(Duration) -> bool,
{
    let (mut without, mut with) = (Duration::ZERO, MAX_NEWS_AGE);
    for _ in 0..SEARCH_STEPS {
        let middle = (without + with) / 2;
        if has_room(middle) {
            with = middle;
        } else {
            without = middle;
        }
    }
    with
}
