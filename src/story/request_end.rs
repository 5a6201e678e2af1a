use super::{LogEntry, LossCause};

/// First status code with which an endpoint reports a failure of its own.
const FIRST_SERVER_ERROR: u64 = 500;

/// Label of the refusal of a stream that broke off after events had been sent.
const TRUNCATED: &str = "truncated";

/// Last log entry of a request: how it ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestEnd {
    /// Why the request was worth less than a response in time; `None` if it was not.
    pub cause: Option<LossCause>,
    /// Milliseconds to the first event of a stream that was answered, to the end of others.
    pub ms: u64,
    /// Remote prefills that were computed and from which nothing was decoded.
    pub vain_prefills: u64,
}

impl RequestEnd {
    /// Reads the end of a request from `entry`; returns `None` if it is not the last one of a request.
    ///
    /// A stream whose longest pause exceeds `pause_ms` counts as paused.
    pub fn of(entry: &LogEntry, pause_ms: u64) -> Option<Self> {
        let number = |field| entry.number(field).unwrap_or_default();
        let ms = number("ms");
        let began = number("events") > 0;
        let (cause, ms) = if entry.message == "answered" {
            let first = entry.number("first_ms").unwrap_or(ms);
            (answered(entry, first, pause_ms), first)
        } else if entry.message.starts_with("refused: ") {
            let reason = entry.text("reason").unwrap_or_default().to_owned();
            let cause = if reason == TRUNCATED {
                LossCause::BrokenOff
            } else {
                LossCause::Refused(reason)
            };
            (Some(cause), ms)
        } else if entry.message.starts_with("caller disconnected") {
            let cause = if began {
                LossCause::LeftStream
            } else {
                LossCause::GivenUp
            };
            (Some(cause), ms)
        } else {
            return None;
        };
        Some(Self {
            cause,
            ms,
            vain_prefills: number("prefills").saturating_sub(u64::from(began)),
        })
    }
}

/// Returns why the response whose first event came after `first` milliseconds was worth less.
fn answered(entry: &LogEntry, first: u64, pause_ms: u64) -> Option<LossCause> {
    let number = |field| entry.number(field).unwrap_or_default();
    if number("status") >= FIRST_SERVER_ERROR {
        return Some(LossCause::EndpointError);
    }
    let target = entry.number("target_ms").unwrap_or(u64::MAX);
    if first <= target {
        return (number("pause_ms") > pause_ms).then_some(LossCause::Paused);
    }
    if entry.fields.get("came_late") == Some(&true.into()) {
        return Some(LossCause::CameLate);
    }
    if number("ran") > 0 {
        return Some(LossCause::LateRetried);
    }
    let (placement, prefill) = (number("place_ms"), number("prefill_ms"));
    let endpoint = first.saturating_sub(placement + prefill);
    let longest = placement.max(prefill).max(endpoint);
    Some(if longest == endpoint {
        LossCause::LateEndpoint
    } else if longest == prefill {
        LossCause::LatePrefill
    } else {
        LossCause::LatePlacement
    })
}
