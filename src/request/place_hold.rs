use {
    super::{ForwardParts, ForwardShared},
    crate::port::{PlaceHandle, Upstream},
};

/// A place reserved at an endpoint. Dropping it gives the place back.
#[derive(Debug)]
pub struct PlaceHold<P>
where
    P: ForwardParts,
{
    shared: ForwardShared<P>,
    place: Option<PlaceHandle>,
}

impl<P> PlaceHold<P>
where
    P: ForwardParts,
{
    /// Takes charge of `place`.
    pub fn new(shared: &ForwardShared<P>, place: PlaceHandle) -> Self {
        Self {
            shared: shared.clone(),
            place: Some(place),
        }
    }

    /// The place, to be sent with an attempt.
    pub fn handle(&self) -> Option<PlaceHandle> {
        self.place.clone()
    }

    /// Notes that a request took the place.
    pub fn taken(mut self) {
        self.place = None;
    }
}

impl<P> Drop for PlaceHold<P>
where
    P: ForwardParts,
{
    fn drop(&mut self) {
        let Some(place) = self.place.take() else {
            return;
        };
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            let address = place.address.clone();
            if let Err(e) = shared.parts().upstream().release(place).await {
                log::debug!(address = address.as_str(); "a place was not given back: {e}");
            }
        });
    }
}
