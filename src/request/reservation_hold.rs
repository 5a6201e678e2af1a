use {
    super::{EndpointHold, ForwardCall, ForwardLog, ForwardParts, ForwardShared, NextStep},
    crate::port::{Noticed, Reservation, Upstream, UpstreamError},
    tokio::time::timeout,
};

/// Memory reserved at an endpoint; dropping it unused releases the reservation.
#[derive(Debug)]
pub struct ReservationHold<P>
where
    P: ForwardParts,
{
    shared: ForwardShared<P>,
    handle: Option<Reservation>,
}

impl<P> ReservationHold<P>
where
    P: ForwardParts,
{
    /// Reserves a slot and memory for `call` at the endpoint of `hold`; `None` if it refuses or does not
    /// respond, which is recorded there.
    pub async fn take(
        shared: &ForwardShared<P>,
        call: &ForwardCall,
        hold: &EndpointHold,
    ) -> Option<Self> {
        let size = call.request.token_counts.unwrap_or_default();
        let options = shared.options();
        let request = call.upstream_request(shared, hold);
        let tokens = size.expected_memory().max(1);
        let reserve = shared.parts().upstream();
        let reserve = reserve.reserve(request, tokens, options.reservation_time);
        let reserved = timeout(options.reserve_timeout, reserve).await;
        let error = match reserved.unwrap_or(Err(UpstreamError::TimedOut)) {
            Ok(Noticed { value, notice }) => {
                hold.record_notice(shared, notice);
                // The request that uses the reservation is one more.
                hold.charge(shared);
                return Some(Self {
                    shared: shared.clone(),
                    handle: Some(value),
                });
            }
            Err(error) => error,
        };
        ForwardLog::new(shared, call).attempt_failed(hold, &error, NextStep::TryAnother);
        // A refused reservation says only that the engine is full.
        if let UpstreamError::Refused { notice, .. } = error {
            hold.record_notice(shared, notice);
        } else {
            hold.record_failure(shared, &error);
        }
        None
    }

    /// Returns the handle to send with an attempt.
    pub fn handle(&self) -> Option<Reservation> {
        self.handle.clone()
    }

    /// Records that an attempt used the reservation, so that it is not released.
    pub fn used(mut self) {
        self.handle = None;
    }
}

impl<P> Drop for ReservationHold<P>
where
    P: ForwardParts,
{
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            let address = handle.address.clone();
            if let Err(e) = shared.parts().upstream().release(handle).await {
                log::debug!(address = address.as_str(); "reservation not released; it expires at the endpoint: {e}");
            }
        });
    }
}
