use {
    crate::port::{ClaimHead, ClaimRecord, ClaimStore, Platform, PlatformError},
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    bytes::Bytes,
    serde::{Serialize, de::DeserializeOwned},
};

/// Version of the encoding, the first byte of every object.
const ENCODING_VERSION: u8 = 1;

/// Claim store in objects of the platform: `claims/{partition}/head` and
/// `claims/{partition}/{id}`, each a version byte followed by bincode.
#[derive(Clone, Debug)]
pub struct ClaimObjects<P> {
    platform: P,
}

impl<P> ClaimObjects<P>
where
    P: Platform,
{
    /// Creates a store that keeps its objects at `platform`.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }
}

impl<P> ClaimStore for ClaimObjects<P>
where
    P: Platform,
{
    async fn read_head(&self, partition: u32) -> Result<(u64, ClaimHead), PlatformError> {
        let name = head_name(partition);
        match self.platform.read(&name).await? {
            Some(object) => Ok((object.version, decode(&name, &object.body)?)),
            None => Ok((0, ClaimHead::default())),
        }
    }

    async fn write_head(
        &self,
        partition: u32,
        expected: u64,
        head: &ClaimHead,
    ) -> Result<u64, PlatformError> {
        let name = head_name(partition);
        let body = encode(&name, head)?;
        if expected == 0 {
            self.platform.create(&name, body).await
        } else {
            self.platform.update(&name, expected, body).await
        }
    }

    async fn read_archive(
        &self,
        partition: u32,
        id: u64,
    ) -> Result<Vec<ClaimRecord>, PlatformError> {
        let name = archive_name(partition, id);
        let object = self.platform.read(&name).await?;
        let object = object.ok_or_else(|| unreadable(&name))?;
        decode(&name, &object.body)
    }

    async fn write_archive(
        &self,
        partition: u32,
        id: u64,
        records: &[ClaimRecord],
    ) -> Result<(), PlatformError> {
        let name = archive_name(partition, id);
        let body = encode(&name, &records)?;
        match self.platform.create(&name, body).await {
            Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

fn head_name(partition: u32) -> String {
    format!("claims/{partition}/head")
}

fn archive_name(partition: u32, id: u64) -> String {
    format!("claims/{partition}/{id}")
}

/// Encodes the object `name`; fails with `PlatformError::Rejected` if `value` cannot be encoded.
fn encode<T>(name: &str, value: &T) -> Result<Bytes, PlatformError>
where
    T: Serialize,
{
    let mut body = vec![ENCODING_VERSION];
    let encoded = encode_to_vec(value, standard());
    let encoded =
        encoded.map_err(|e| PlatformError::Rejected(format!("`{name}` cannot be encoded: {e}")))?;
    body.extend(encoded);
    Ok(body.into())
}

/// Decodes the object `name`; fails with `PlatformError::Rejected` if the body is damaged or has
/// another encoding version.
fn decode<T>(name: &str, body: &[u8]) -> Result<T, PlatformError>
where
    T: DeserializeOwned,
{
    let (&version, rest) = body.split_first().ok_or_else(|| unreadable(name))?;
    if version != ENCODING_VERSION {
        return Err(unreadable(name));
    }
    let decoded = decode_from_slice(rest, standard());
    decoded.map(|(value, _)| value).or(Err(unreadable(name)))
}

fn unreadable(name: &str) -> PlatformError {
    let reason = format!(
        "`{name}` is missing, damaged or written by another version; run the same release on all daemons"
    );
    PlatformError::Rejected(reason)
}
