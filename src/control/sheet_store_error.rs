use {crate::port::PlatformError, thiserror::Error};

/// Why a call to the store of the sheet failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SheetStoreError {
    /// Another sheet was accepted in the meantime. Nothing was changed.
    #[error(
        "revision {current} is in force, not {base}; look at `sheet diff --from {base} --to {current}` and submit with base {current}"
    )]
    Conflict {
        /// Revision on which the sheet was based.
        base: u64,
        /// Revision in force.
        current: u64,
    },
    /// The change id was used for another sheet, stored in the object given. Nothing was changed.
    #[error("`{0}` holds another sheet with the same change id; submit with a new change id")]
    ChangeReused(String),
    /// The change id has characters or a length that are not allowed.
    #[error("change id `{0}` is not allowed; use 1 to 64 lower-case letters, digits and hyphens")]
    InvalidChangeId(String),
    /// The outcome of the write is not known: the change may have been accepted.
    #[error(
        "it is not known whether change `{change}` was accepted ({cause}); submit the same sheet with the same change id again"
    )]
    Unknown {
        /// Change id.
        change: String,
        /// Why it is not known.
        cause: PlatformError,
    },
    /// The platform failed before anything could take effect.
    #[error("nothing was changed: {0}")]
    Platform(#[from] PlatformError),
    /// An object would exceed the size limit of stored objects.
    #[error("`{name}` would take {bytes} bytes, more than an object may have; give it fewer rules")]
    TooLarge {
        /// Name of the object or branch.
        name: String,
        /// Size in bytes.
        bytes: usize,
    },
    /// An object was written in the format of another version of lentillead.
    #[error(
        "`{name}` has format {format}, which this version of lentillead cannot read; run a newer version"
    )]
    Format {
        /// Name of the object.
        name: String,
        /// Format version found.
        format: u32,
    },
    /// An object is missing or its contents cannot be used.
    #[error(
        "`{name}` at the platform is damaged: {cause}; submit the sheet again, or restore the object if it is `sheet/index`"
    )]
    Damaged {
        /// Name of the object.
        name: String,
        /// What is wrong with it.
        cause: String,
    },
    /// The revision is no longer kept, or does not exist.
    #[error("revision {0} is not kept; `sheet history` lists those that are")]
    NotKept(u64),
}
