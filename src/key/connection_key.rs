use std::{
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
};

/// Key of a caller's open connection: an index into the slots of the account, with a generation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ConnectionKey {
    /// Index of the slot.
    pub index: u32,
    /// Number of connections that have had the slot, including this one.
    pub generation: u32,
}

impl Display for ConnectionKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let number = u64::from(self.generation) << 32 | u64::from(self.index);
        number.fmt(f)
    }
}

impl FromStr for ConnectionKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: u64 = text.parse()?;
        Ok(Self {
            index: number as u32,
            generation: (number >> 32) as u32,
        })
    }
}
