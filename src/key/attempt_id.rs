use {
    super::RequestId,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        str::FromStr,
    },
    thiserror::Error,
};

/// Identifier of one attempt to run a request; every message to an endpoint carries it.
///
/// It is written as HOST-INCARNATION-SEQUENCE-NUMBER, the first three in hexadecimal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// Identifier of the request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request, from 0.
    pub number: u16,
}

/// The error for a text that does not have the form of an attempt identifier; holds the text.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("`{0}` is not an attempt identifier; expected HOST-INCARNATION-SEQUENCE-NUMBER")]
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
        host: parse_hex(parts.next()?)?,
        incarnation: parse_hex(parts.next()?)?,
        sequence: parse_hex(parts.next()?)?,
    };
    let number = parts.next()?.parse().ok()?;
    let rest = parts.next();
    rest.is_none().then_some(AttemptId { request, number })
}

fn parse_hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
