use {
    crate::key::OrganisationKey,
    serde::{Deserialize, Serialize},
    std::fmt,
    subtle::ConstantTimeEq,
};

/// Length of a digest and of a salt in bytes.
const DIGEST_BYTES: usize = 32;

/// Random key of the digests of one configuration. Without it, digests of guessed access keys cannot be
/// computed.
#[derive(Clone, Copy, Deserialize, Serialize)]
pub struct KeySalt([u8; DIGEST_BYTES]);

/// Keyed digest of an access key, which stands for the key after the configuration is decoded.
#[derive(Clone, Copy, Deserialize, Serialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Digests of the access keys of all organisations.
#[derive(Clone)]
pub struct AccessKeys {
    salt: KeySalt,
    /// Sorted by digest.
    digests: Vec<(KeyDigest, OrganisationKey)>,
}

impl KeySalt {
    /// Returns a salt from the operating system's random numbers.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the salt with these bytes.
    pub fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the digest of `key`.
    pub fn digest(&self, key: &str) -> KeyDigest {
        KeyDigest(*blake3::keyed_hash(&self.0, key.as_bytes()).as_bytes())
    }
}

impl KeyDigest {
    /// First bytes of the digest, by which it is found. They tell nothing about the key to those who do not
    /// have the salt, so only the comparison of the whole digest takes constant time.
    fn prefix(&self) -> u64 {
        self.0
            .iter()
            .take(8)
            .fold(0, |prefix, byte| prefix << 8 | u64::from(*byte))
    }

    /// Returns whether both are the same, in constant time.
    fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl AccessKeys {
    /// Creates the set of these digests, which were made with `salt`. Of two equal ones the first counts;
    /// returns the organisations of each such pair, in order.
    pub fn new<I>(salt: KeySalt, digests: I) -> (Self, Vec<(OrganisationKey, OrganisationKey)>)
    where
        I: IntoIterator<Item = (KeyDigest, OrganisationKey)>,
    {
        let mut keys = Self {
            salt,
            digests: digests.into_iter().collect(),
        };
        // The sort is stable, so the first of two equal digests stays first.
        keys.digests.sort_by_key(|(digest, _)| digest.0);
        let mut repeated = Vec::new();
        keys.digests.dedup_by(|later, earlier| {
            let same = later.0.matches(&earlier.0);
            if same {
                repeated.push((earlier.1, later.1));
            }
            same
        });
        (keys, repeated)
    }

    /// Returns the organisation that `key` belongs to, or `None` if it is unknown.
    pub fn find(&self, key: &str) -> Option<OrganisationKey> {
        let digest = self.salt.digest(key);
        let prefix = digest.prefix();
        let start = self
            .digests
            .partition_point(|(other, _)| other.prefix() < prefix);
        let same = self.digests[start..]
            .iter()
            .take_while(|(other, _)| other.prefix() == prefix);
        same.into_iter()
            .find(|(other, _)| other.matches(&digest))
            .map(|(_, organisation)| *organisation)
    }

    /// Returns the salt of the digests.
    pub fn salt(&self) -> KeySalt {
        self.salt
    }

    /// Returns the digests of `organisation`.
    pub fn of(&self, organisation: OrganisationKey) -> impl Iterator<Item = KeyDigest> {
        let digests = self.digests.iter();
        digests
            .filter(move |(_, owner)| *owner == organisation)
            .map(|(digest, _)| *digest)
    }
}

impl fmt::Debug for KeySalt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeySalt(..)")
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl fmt::Debug for AccessKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AccessKeys({})", self.digests.len())
    }
}
