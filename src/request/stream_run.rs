use {
    super::{EndpointHold, ForwardParts, PlacementHold},
    crate::port::Upstream,
    http::HeaderMap,
};

/// Body of the answers of a port.
pub type BodyOf<P> = <<P as ForwardParts>::Upstream as Upstream>::Body;

/// The attempt that runs now.
#[derive(Debug)]
pub struct Run<P>
where
    P: ForwardParts,
{
    /// Where it runs.
    pub hold: EndpointHold,
    /// Rest of its answer.
    pub body: BodyOf<P>,
    /// Places that a daemon keeps for it.
    pub placement: Option<PlacementHold<P>>,
    /// Whether no event of it was seen yet.
    pub fresh: bool,
}

/// An attempt whose answer has begun.
#[derive(Debug)]
pub struct Started<P>
where
    P: ForwardParts,
{
    /// Status of the answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Rest of its answer.
    pub body: BodyOf<P>,
    /// Where it runs.
    pub hold: EndpointHold,
    /// Places that a daemon keeps for it.
    pub placement: Option<PlacementHold<P>>,
}

impl<P> Started<P>
where
    P: ForwardParts,
{
    /// The attempt, and the head of its answer.
    pub fn into_run(self) -> (HeaderMap, Run<P>) {
        let run = Run {
            hold: self.hold,
            body: self.body,
            placement: self.placement,
            fresh: true,
        };
        (self.headers, run)
    }
}
