use {crate::port::PlatformError, thiserror::Error};

/// Why a call to the sheet's store failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SheetStoreError {
    /// Another sheet was accepted first. Nothing was changed.
    #[error(
        "revision {current} is in force, not {base}; look at `sheet diff --from {base} --to {current}` and submit with base {current}"
    )]
    Conflict {
        /// Revision on which the sheet was based.
        base: u64,
        /// Revision in force.
        current: u64,
    },
    /// The change id belongs to another sheet. Nothing was changed.
    #[error("`{0}` holds another sheet with the same change id; submit with a new change id")]
    ChangeReused(String),
    /// The change id has a form that is not allowed.
    #[error("change id `{0}` is not allowed; use 1 to 64 lower-case letters, digits and hyphens")]
    ChangeName(String),
    /// The outcome of the write is not known.
    #[error(
        "whether change `{change}` was accepted is not known ({cause}); submit the same sheet with the same change id again"
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
    /// An object would exceed the platform's limit.
    #[error("`{name}` would take {bytes} bytes, more than the platform holds; give it fewer rules")]
    TooLarge {
        /// Object or branch.
        name: String,
        /// Size in bytes.
        bytes: usize,
    },
    /// An object was written by another version of lentillead.
    #[error("`{name}` has format {format}, which this version does not read; run the newer one")]
    Format {
        /// Object.
        name: String,
        /// Format found.
        format: u32,
    },
    /// An object cannot be read.
    #[error(
        "`{name}` at the platform is damaged: {cause}; submit the sheet again, or restore the object if it is `sheet/index`"
    )]
    Damaged {
        /// Object.
        name: String,
        /// What is wrong.
        cause: String,
    },
    /// The revision is not kept any more, or does not exist.
    #[error("revision {0} is not kept; `sheet history` lists those that are")]
    Gone(u64),
}
