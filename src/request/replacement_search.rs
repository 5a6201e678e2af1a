use {
    super::{
        ForwardCall, ForwardParts, ForwardShared, ReservationHold, RetryPermit,
        placement_search::{PlacementSearch, StreamPlacement},
        search_slot::SearchSlot,
    },
    crate::port::Clock,
    std::{future::pending, time::Duration},
    tokio::sync::oneshot,
};

/// Wait before the next search after one that found no endpoint with room.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);

/// Everything that another attempt of a stream needs, so that the running one may be ended for it.
///
/// Dropping it returns the retry, and releases the placement and the reservation.
#[derive(Debug)]
pub struct Replacement<P>
where
    P: ForwardParts,
{
    /// Permission for the retry.
    pub permit: RetryPermit,
    /// Endpoint with memory reserved for the attempt.
    pub placement: StreamPlacement<P>,
}

/// Search for a replacement of an overdue attempt, which goes on running meanwhile.
///
/// Dropping it ends the search, and releases what it has found.
#[derive(Debug)]
pub struct ReplacementSearch<P>
where
    P: ForwardParts,
{
    /// Receives the result; `None` once the search has ended without one.
    found: Option<oneshot::Receiver<Replacement<P>>>,
}

impl<P> ReplacementSearch<P>
where
    P: ForwardParts,
{
    /// Starts to search for another attempt of `call`.
    pub fn start(shared: &ForwardShared<P>, call: &ForwardCall) -> Self {
        let (sender, found) = oneshot::channel();
        let task_shared = shared.clone();
        let mut call = call.clone();
        shared.spawn(async move {
            // A request that may have crashed engines is not retried.
            while !sender.is_closed() && !call.suspect {
                if let Some(replacement) = search(&task_shared, &mut call, &sender).await {
                    // Without a receiver, the replacement is dropped here.
                    drop(sender.send(replacement));
                    return;
                }
                task_shared.parts().clock().sleep(SEARCH_PAUSE).await;
            }
        });
        Self { found: Some(found) }
    }

    /// Waits until a replacement is found. May be dropped and called again.
    pub async fn found(&mut self) -> Replacement<P> {
        if let Some(found) = &mut self.found {
            if let Ok(replacement) = found.await {
                return replacement;
            }
            self.found = None;
        }
        pending().await
    }
}

/// Searches once for an engine with room and a retry; `None` if there is none now, or if nobody waits for
/// it any more.
///
/// The engine prefills locally: a remote prefill would be in vain if the running attempt goes on.
async fn search<P>(
    shared: &ForwardShared<P>,
    call: &mut ForwardCall,
    sender: &oneshot::Sender<Replacement<P>>,
) -> Option<Replacement<P>>
where
    P: ForwardParts,
{
    let _slot = SearchSlot::take(shared, &call.pool)?;
    let Ok(mut placement) = PlacementSearch::new(shared, call).find(true).await else {
        // A request that does not fit keeps those behind it waiting, and they run nowhere yet.
        call.late = true;
        return None;
    };
    if call.suspect || sender.is_closed() {
        return None;
    }
    if placement.reservation.is_none() {
        let reservation = ReservationHold::take(shared, call, &placement.decode).await?;
        placement.reservation = Some(reservation);
    }
    // Another request may have spent the last retry meanwhile.
    let permit = RetryPermit::take(shared, &call.pool)?;
    Some(Replacement { permit, placement })
}
