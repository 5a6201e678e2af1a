use {
    serde::{Serialize, Serializer},
    std::fmt::{Display, Formatter, Result as Formatted},
};

/// Why a request was worth less to its caller than a response in time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LossCause {
    /// Answered late; it had arrived too late to meet its target, as a retry of the caller does.
    CameLate,
    /// Answered late after a failed attempt.
    LateRetried,
    /// Answered late; it waited longest for a placement.
    LatePlacement,
    /// Answered late; its remote prefills took longest.
    LatePrefill,
    /// Answered late; the endpoint took longest to send the first event, or the response.
    LateEndpoint,
    /// Answered in time, with a longer pause between two events than allowed.
    Paused,
    /// The endpoint responded with an error status.
    EndpointError,
    /// Refused, for the reason with this label.
    Refused(String),
    /// The stream broke off after events had been sent.
    BrokenOff,
    /// The caller disconnected before the first event, or before the response.
    GivenUp,
    /// The caller disconnected after the first event.
    LeftStream,
    /// The log has no last line: the daemon ended before the request, or the line was dropped.
    Unfinished,
}

impl Display for LossCause {
    fn fmt(&self, f: &mut Formatter<'_>) -> Formatted {
        let text = match self {
            Self::CameLate => "late: came late",
            Self::LateRetried => "late: retried",
            Self::LatePlacement => "late: placement",
            Self::LatePrefill => "late: prefill",
            Self::LateEndpoint => "late: endpoint",
            Self::Paused => "paused",
            Self::EndpointError => "endpoint error",
            Self::Refused(reason) => return write!(f, "refused: {reason}"),
            Self::BrokenOff => "broken off",
            Self::GivenUp => "given up",
            Self::LeftStream => "left stream",
            Self::Unfinished => "unfinished",
        };
        f.write_str(text)
    }
}

impl Serialize for LossCause {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}
