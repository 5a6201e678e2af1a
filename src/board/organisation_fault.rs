use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Maximum number of characters of a name in a message.
const MAX_NAME_CHARS: usize = 64;

/// What is wrong with an organisation in the configuration, and how it is treated. No fault holds an access
/// key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrganisationFault {
    /// The entry with this number, counted from 1, has no usable name or no list of keys; it is left out.
    Unreadable(usize),
    /// The organisation is declared again; keys of both entries count, the rest of the first one.
    Repeated(String),
    /// A key of the organisation is empty, too long or not a text; it is left out.
    BadKey(String),
    /// The organisation has no access key of its own, so only public routes serve its callers.
    NoKeys(String),
    /// A key of the first organisation is also listed for the second one; it counts for the first.
    SharedKey(String, String),
    /// A field of the quota is negative or not a number; the organisation has no limit.
    BadQuota(String),
    /// The priority is not a whole number from 0 to 255; that of the route applies.
    BadPriority(String),
}

impl OrganisationFault {
    /// Every kind of fault, for registration of counters.
    pub const KINDS: [&'static str; 7] = [
        "unreadable",
        "repeated",
        "bad-key",
        "no-keys",
        "shared-key",
        "bad-quota",
        "bad-priority",
    ];

    /// Returns the kind of the fault, the label of its counter.
    pub fn kind(&self) -> &'static str {
        let [
            unreadable,
            repeated,
            bad_key,
            no_keys,
            shared,
            quota,
            priority,
        ] = Self::KINDS;
        match self {
            Self::Unreadable(_) => unreadable,
            Self::Repeated(_) => repeated,
            Self::BadKey(_) => bad_key,
            Self::NoKeys(_) => no_keys,
            Self::SharedKey(..) => shared,
            Self::BadQuota(_) => quota,
            Self::BadPriority(_) => priority,
        }
    }
}

impl fmt::Display for OrganisationFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(number) => write!(f, "entry {number} cannot be read and is left out"),
            Self::Repeated(name) => write!(f, "`{}` is declared twice", short(name)),
            Self::BadKey(name) => write!(f, "`{}` has a key that cannot be used", short(name)),
            Self::NoKeys(name) => write!(f, "`{}` has no key of its own", short(name)),
            Self::SharedKey(first, second) => {
                let (first, second) = (short(first), short(second));
                write!(
                    f,
                    "`{first}` and `{second}` have the same key, which counts for `{first}`"
                )
            }
            Self::BadQuota(name) => {
                write!(
                    f,
                    "the quota of `{}` is negative or not a number, so it has no limit",
                    short(name)
                )
            }
            Self::BadPriority(name) => {
                write!(
                    f,
                    "the priority of `{}` is not a number from 0 to 255",
                    short(name)
                )
            }
        }
    }
}

/// Returns the beginning of `name`.
fn short(name: &str) -> String {
    name.chars().take(MAX_NAME_CHARS).collect()
}
