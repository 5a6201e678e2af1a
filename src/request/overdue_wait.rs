use {
    super::{
        EndpointHold, ForwardCall, ForwardParts, ForwardShared,
        replacement_search::{Replacement, ReplacementSearch},
    },
    crate::port::UpstreamError,
    std::{pin::pin, time::Duration},
    tokio::{select, time::timeout},
};

/// Wait for the running attempt of a stream, which is ended only once another one can take its place.
#[derive(Debug)]
pub struct OverdueWait<'a, P>
where
    P: ForwardParts,
{
    /// State that all forwarded requests share.
    pub shared: &'a ForwardShared<P>,
    /// The request.
    pub call: &'a ForwardCall,
    /// Endpoint of the attempt.
    pub hold: &'a EndpointHold,
    /// Search for a replacement, present while the attempt is overdue.
    pub search: &'a mut Option<ReplacementSearch<P>>,
    /// Time from now on after which the attempt is overdue.
    pub limit: Duration,
}

/// What a wait for an attempt ended with.
#[derive(Debug)]
pub enum Awaited<T, P>
where
    P: ForwardParts,
{
    /// What the attempt responded, or how it failed; `TimedOut` at the deadline of the request.
    Response(Result<T, UpstreamError>),
    /// The attempt is overdue, and this can take its place.
    Replacement(Box<Replacement<P>>),
}

impl<P> OverdueWait<'_, P>
where
    P: ForwardParts,
{
    /// Waits for `response` of the attempt; once it is overdue, also for a replacement.
    pub async fn wait<F, T>(self, response: F) -> Awaited<T, P>
    where
        F: Future<Output = Result<T, UpstreamError>>,
    {
        let mut response = pin!(response);
        let left = || self.shared.left(self.call.deadline);
        if !self.call.may_be_replaced() {
            return from_timeout(timeout(left(), response).await);
        }
        if self.search.is_none() {
            let in_time = timeout(self.limit.min(left()), &mut response).await;
            if in_time.is_ok() || left().is_zero() {
                return from_timeout(in_time);
            }
        }
        let left = left();
        let search = self.search.get_or_insert_with(|| {
            self.hold.avoid_overdue(self.shared);
            ReplacementSearch::start(self.shared, self.call)
        });
        let either = async {
            select! {
                biased;
                response = response => Awaited::Response(response),
                found = search.found() => Awaited::Replacement(Box::new(found)),
            }
        };
        let ended = timeout(left, either).await;
        ended.unwrap_or(Awaited::Response(Err(UpstreamError::TimedOut)))
    }
}

/// Returns what a wait with a time limit ended with.
fn from_timeout<T, P, E>(response: Result<Result<T, UpstreamError>, E>) -> Awaited<T, P>
where
    P: ForwardParts,
{
    Awaited::Response(response.unwrap_or(Err(UpstreamError::TimedOut)))
}
