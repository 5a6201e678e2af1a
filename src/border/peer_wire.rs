//! Encoding of the messages between daemons.

use {
    bincode::{
        config::{Configuration, Limit, LittleEndian, Varint, standard},
        serde::{decode_from_slice, encode_into_std_write},
    },
    bytes::Bytes,
    serde::{Serialize, de::DeserializeOwned},
    thiserror::Error,
};

/// Version of the message encoding, the first byte of every body.
///
/// Increase it whenever the fields or variants of a message in `src/port` change. A variant that is
/// added at the end of `PeerCall` or `PeerReply` needs no new version: an earlier release refuses
/// the call.
pub const WIRE_VERSION: u8 = 2;

/// Maximum length of one message in bytes: a complete sheet of 1 MB and as much again.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Bincode configuration of all messages.
type WireConfig = Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>>;

/// The error of encoding or decoding a message.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WireError {
    /// The message exceeds `MAX_MESSAGE_BYTES` or cannot be encoded.
    #[error("the message cannot be encoded: {0}; send less at once")]
    Encode(String),
    /// The body is empty or has another version.
    #[error(
        "the message has version {0:?} instead of {WIRE_VERSION}; run the same release on both hosts"
    )]
    Version(Option<u8>),
    /// The body is damaged, or not a message of the expected type.
    #[error("the message cannot be decoded: {0}")]
    Decode(String),
}

/// Encodes a message: the version byte, then bincode.
///
/// Fails with `WireError::Encode` if the message is longer than `MAX_MESSAGE_BYTES`.
pub fn encode<T>(message: &T) -> Result<Bytes, WireError>
where
    T: Serialize,
{
    let mut body = vec![WIRE_VERSION];
    encode_into_std_write(message, &mut body, wire_config())
        .map_err(|e| WireError::Encode(e.to_string()))?;
    if body.len() > MAX_MESSAGE_BYTES {
        return Err(WireError::Encode(format!(
            "it has {} bytes, the limit is {MAX_MESSAGE_BYTES}",
            body.len()
        )));
    }
    Ok(Bytes::from(body))
}

/// Decodes the body of a message.
///
/// Fails with `WireError::Version` if the version differs, and with `WireError::Decode` if the body
/// is damaged or has bytes after the message.
pub fn decode<T>(body: &[u8]) -> Result<T, WireError>
where
    T: DeserializeOwned,
{
    let Some((&WIRE_VERSION, rest)) = body.split_first() else {
        return Err(WireError::Version(body.first().copied()));
    };
    let (message, consumed) =
        decode_from_slice(rest, wire_config()).map_err(|e| WireError::Decode(e.to_string()))?;
    if consumed < rest.len() {
        let extra = rest.len() - consumed;
        return Err(WireError::Decode(format!(
            "{extra} bytes follow the message"
        )));
    }
    Ok(message)
}

fn wire_config() -> WireConfig {
    standard().with_limit::<MAX_MESSAGE_BYTES>()
}
