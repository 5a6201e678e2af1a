use {
    super::{
        EndpointHold, EndpointNeed, ForwardCall, ForwardLog, ForwardParts, ForwardShared, Refused,
        WaitingCalls, WaitingPlace, forward_refusal,
    },
    crate::{
        board::Tick,
        decide::{
            AdmissionNeed, ServiceAdmission, ServiceOption, Waiting, admit_service, shortest_work,
        },
        port::Clock,
    },
    std::time::Duration,
};

/// Shortest and longest time, before jitter, until a waiting call is decided on again: other responses may
/// have reported room meanwhile.
const WAIT_RANGE: (Duration, Duration) = (Duration::from_millis(3), Duration::from_millis(25));

/// Share of a wait that is at random, so that the calls of all daemons are not sent at once.
const WAIT_JITTER: f64 = 0.5;

/// Multiple of the expected time of work that a refused call has left when it returns at the latest.
const RETURN_MARGIN: f64 = 3.0;

/// Share of the time until the latest return at which refused calls return at the earliest.
const FIRST_RETURN: f64 = 0.4;

/// Multiple of the usual wait after which calls that cannot meet their target any more return at the
/// earliest; the latest is twice that.
const LATE_RETURN: f64 = 1.5;

/// Admits calls to pools of plain services that state how long work takes there: a call waits while the
/// endpoints are expected to turn it away.
#[derive(Debug)]
pub struct CallAdmission<'a, P>
where
    P: ForwardParts,
{
    shared: &'a ForwardShared<P>,
    call: &'a ForwardCall,
}

impl<'a, P> CallAdmission<'a, P>
where
    P: ForwardParts,
{
    /// Prepares the admission of `call`.
    pub fn new(shared: &'a ForwardShared<P>, call: &'a ForwardCall) -> Self {
        Self { shared, call }
    }

    /// Waits until an attempt may be sent to one of the endpoints for `need`; at once if nothing is known
    /// of their room.
    ///
    /// # Errors
    ///
    /// Refuses the call if there is expected to be no room in time.
    pub async fn admit(&self, need: &EndpointNeed<'_>) -> Result<(), Refused> {
        let mut place = None;
        loop {
            let options = EndpointHold::service_options(self.shared, need);
            let Some(work) = shortest_work(&options) else {
                return Ok(());
            };
            match self.decide(&options, work, &mut place) {
                ServiceAdmission::Send => return Ok(()),
                ServiceAdmission::Wait(wait) => self.sleep(wait).await,
                ServiceAdmission::Refuse(wait) => {
                    let wait = self.return_after(wait, work);
                    ForwardLog::new(self.shared, self.call).no_room(&options, wait);
                    return Err(forward_refusal::no_room(self.call, wait));
                }
            }
        }
    }

    /// Decides on the call now; it takes a `place` among those that wait when it first has to.
    fn decide(
        &self,
        options: &[ServiceOption],
        work: Duration,
        place: &mut Option<WaitingPlace>,
    ) -> ServiceAdmission {
        let now = self.shared.now();
        let due = self.due();
        let waiting = Waiting {
            arrived: self.call.arrived,
            priority: self.call.priority,
            due,
            work,
            share: 1.0,
        };
        let calls = self.shared.waiting_calls(&self.call.pool);
        let need = AdmissionNeed {
            ahead: calls.ahead(&waiting, place.as_ref(), now),
            to_target: due - now,
            to_deadline: self.call.deadline - now,
        };
        let admission = admit_service(options, &need);
        if place.is_none()
            && let ServiceAdmission::Wait(wait) = admission
        {
            ForwardLog::new(self.shared, self.call).deferred(options, &need, wait);
            *place = Some(WaitingCalls::join(&calls, waiting));
        }
        admission
    }

    async fn sleep(&self, wait: Duration) {
        let (shortest, longest) = WAIT_RANGE;
        let jitter = 1.0 - WAIT_JITTER * self.shared.draw_share();
        let wait = wait.clamp(shortest, longest).mul_f64(jitter);
        self.shared.parts().clock().sleep(wait).await;
    }

    /// Returns the time by which the response has to be complete to meet the target. The time that the caller
    /// does not leave of the route's time-out has passed before, in earlier requests for the same.
    fn due(&self) -> Tick {
        let route = &self.call.route;
        let rest = route.timeout.saturating_sub(route.target);
        self.call.deadline.before(rest)
    }

    /// Spreads the return of a call that was refused after an attempt, if its pool states how long work
    /// takes.
    pub fn spread_return(&self, need: &EndpointNeed<'_>, refused: Refused) -> Refused {
        let options = EndpointHold::service_options(self.shared, need);
        match (refused.retry_after, shortest_work(&options)) {
            (Some(_), Some(work)) => refused.after(self.return_after(Duration::ZERO, work)),
            _ => refused,
        }
    }

    /// Returns the time after which a refused call may return, at random: early enough for its target if
    /// there is room after the time `room`, else after the usual wait or more.
    fn return_after(&self, room: Duration, work: Duration) -> Duration {
        let draw = self.shared.draw_share();
        let to_target = self.due() - self.shared.now();
        let last = to_target.saturating_sub(work.mul_f64(RETURN_MARGIN));
        let first = last.mul_f64(FIRST_RETURN).max(room);
        if work <= first && first <= last {
            return first + last.saturating_sub(first).mul_f64(draw);
        }
        let wait = room.max(self.shared.options().retry_after);
        wait.mul_f64(LATE_RETURN * (1.0 + draw))
    }
}
