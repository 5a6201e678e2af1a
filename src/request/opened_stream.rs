use {
    super::{EventRelay, ForwardParts, Refused, forward_response::ForwardResponse},
    http::HeaderMap,
};

/// How the first attempts of a stream ended.
#[derive(Debug)]
pub enum OpenedStream<P>
where
    P: ForwardParts,
{
    /// The endpoint accepted the request: its headers, and the relay that yields the events.
    Events(HeaderMap, Box<EventRelay<P>>),
    /// The endpoint responded with a status that is not a success.
    Failure(ForwardResponse),
    /// The request was refused without a response of an endpoint.
    Refused(Refused),
}
