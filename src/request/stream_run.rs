use {
    super::{EndpointHold, ForwardParts, PlacementHold},
    crate::port::Upstream,
    http::HeaderMap,
};

/// Response body of the endpoints that `P` reaches.
pub type BodyOf<P> = <<P as ForwardParts>::Upstream as Upstream>::Body;

/// Attempt whose events are relayed to the caller.
#[derive(Debug)]
pub struct RunningAttempt<P>
where
    P: ForwardParts,
{
    /// Endpoint that runs the attempt.
    pub hold: EndpointHold,
    /// Part of the response that is not read yet.
    pub body: BodyOf<P>,
    /// Placement of the attempt.
    pub placement: PlacementHold<P>,
    /// Whether the first event of the attempt is still to come.
    pub awaits_first: bool,
}

/// Attempt of which the head of the response was received.
#[derive(Debug)]
pub struct StartedAttempt<P>
where
    P: ForwardParts,
{
    /// HTTP status code of the response.
    pub status: u16,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Part of the response that is not read yet.
    pub body: BodyOf<P>,
    /// Endpoint that runs the attempt.
    pub hold: EndpointHold,
    /// Placement of the attempt.
    pub placement: PlacementHold<P>,
}

impl<P> StartedAttempt<P>
where
    P: ForwardParts,
{
    /// Splits into the headers and the attempt to relay.
    pub fn into_run(self) -> (HeaderMap, RunningAttempt<P>) {
        let run = RunningAttempt {
            hold: self.hold,
            body: self.body,
            placement: self.placement,
            awaits_first: true,
        };
        (self.headers, run)
    }
}
