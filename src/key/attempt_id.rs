use {
    super::RequestId,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        str::FromStr,
    },
    thiserror::Error,
};

/// Identity of one attempt to run a request; every message to an endpoint carries it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub number: u16,
}

/// A text that is no displayed attempt identity.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("`{0}` is no attempt identity; expected HOST-INCARNATION-SEQUENCE-NUMBER")]
pub struct AttemptIdError(String);

impl Display for AttemptId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = AttemptIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| AttemptIdError(text.to_owned()))
    }
}

fn parse(text: &str) -> Option<AttemptId> {
    let mut parts = text.split('-');
    let request = RequestId {
        host: hex(parts.next()?)?,
        incarnation: hex(parts.next()?)?,
        sequence: hex(parts.next()?)?,
    };
    let number = parts.next()?.parse().ok()?;
    let end = parts.next();
    end.is_none().then_some(AttemptId { request, number })
}

fn hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
