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
/// It changes whenever a message of `src/port` changes its fields.
pub const WIRE_VERSION: u8 = 1;

/// Greatest length of one message in bytes: a whole sheet of one megabyte with room to spare.
pub const MESSAGE_BYTES: usize = 2 << 20;

type Format = Configuration<LittleEndian, Varint, Limit<MESSAGE_BYTES>>;

/// Why a message could not be turned into bytes or back.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WireError {
    /// The message would be longer than `MESSAGE_BYTES`, or cannot be written.
    #[error("the message cannot be written: {0}; send less at once")]
    Encode(String),
    /// The body is empty or of another version.
    #[error(
        "the message has version {0:?} instead of {WIRE_VERSION}; run the same release on both hosts"
    )]
    Version(Option<u8>),
    /// The bytes do not form a message.
    #[error("the message cannot be read: {0}")]
    Decode(String),
}

/// Turns a message into a body: the version byte, then bincode.
pub fn encode<T>(message: &T) -> Result<Bytes, WireError>
where
    T: Serialize,
{
    let mut body = vec![WIRE_VERSION];
    encode_into_std_write(message, &mut body, format())
        .map_err(|e| WireError::Encode(e.to_string()))?;
    if body.len() > MESSAGE_BYTES {
        return Err(WireError::Encode(format!("it has {} bytes", body.len())));
    }
    Ok(Bytes::from(body))
}

/// Turns a body back into a message; every byte must be used.
pub fn decode<T>(body: &[u8]) -> Result<T, WireError>
where
    T: DeserializeOwned,
{
    let Some((&WIRE_VERSION, rest)) = body.split_first() else {
        return Err(WireError::Version(body.first().copied()));
    };
    let (message, used) =
        decode_from_slice(rest, format()).map_err(|e| WireError::Decode(e.to_string()))?;
    if used < rest.len() {
        let extra = rest.len() - used;
        return Err(WireError::Decode(format!("{extra} bytes follow its end")));
    }
    Ok(message)
}

fn format() -> Format {
    standard().with_limit::<MESSAGE_BYTES>()
}
