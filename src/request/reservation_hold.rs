use {
    super::{ForwardParts, ForwardShared},
    crate::port::{Reservation, Upstream},
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
    /// Takes over the reservation `handle`.
    pub fn new(shared: &ForwardShared<P>, handle: Reservation) -> Self {
        Self {
            shared: shared.clone(),
            handle: Some(handle),
        }
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
