use {
    super::SheetStoreError,
    crate::port::BranchRules,
    bytes::Bytes,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::collections::{BTreeMap, HashSet},
};

/// Name of the object that says which revision is in force.
pub(super) const INDEX: &str = "sheet/index";
/// Version of the stored JSON; another one is refused.
pub(super) const FORMAT: u32 = 1;
/// Greatest size of a stored object in bytes.
pub(super) const OBJECT_BYTES: usize = 1_000_000;
/// Fewest accepted changes that are kept for `history`, `diff` and changes since a revision; twice
/// as many are cut down to this number at once.
pub(super) const KEPT_CHANGES: usize = 64;

/// Contents of the index object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Index {
    /// `FORMAT`.
    pub format: u32,
    /// Revision in force.
    pub revision: u64,
    /// Readers at an older revision than this need the whole sheet.
    pub complete: u64,
    /// Where the rules of each branch are; kept without rules for a branch that is gone.
    pub branches: BTreeMap<String, Place>,
    /// Latest accepted changes, oldest first.
    pub changes: Vec<ChangeRecord>,
}

/// Where the rules of a branch are.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Place {
    /// Revision that last changed the branch.
    pub revision: u64,
    /// Directory of the change that wrote them.
    pub directory: String,
    /// Part of the change.
    pub part: u32,
    /// Whether the branch has no rules any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gone: bool,
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// Revision that the change made.
    pub revision: u64,
    /// Change id.
    pub change: String,
    /// Who submitted it.
    pub author: String,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Branches that it changed.
    pub branches: u32,
    /// Directory of the objects that hold its rules.
    pub directory: String,
    /// Objects in the directory.
    pub parts: u32,
}

/// Contents of one object of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Part {
    /// `FORMAT`.
    pub format: u32,
    /// Revision on which the change was based.
    pub base: u64,
    /// Changed branches.
    pub branches: Vec<PartBranch>,
}

/// A changed branch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct PartBranch {
    /// Rules after the change; none when the branch is gone.
    pub rules: BranchRules,
    /// Where its rules were before the change.
    pub before: Option<Place>,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            format: FORMAT,
            revision: 0,
            complete: 0,
            branches: BTreeMap::new(),
            changes: Vec::new(),
        }
    }
}

impl Index {
    /// Returns the record of `change` if it was accepted and is still kept.
    pub(super) fn record(&self, change: &str) -> Option<&ChangeRecord> {
        self.changes.iter().find(|record| record.change == change)
    }

    /// Adds an accepted change and returns the records that are no longer kept.
    ///
    /// After revisions were `lost` by the store, every reader needs the whole sheet.
    pub(super) fn accept(&mut self, record: ChangeRecord, lost: bool) -> Vec<ChangeRecord> {
        self.revision = record.revision;
        self.changes.push(record);
        let mut dropped = Vec::new();
        if self.changes.len() >= 2 * KEPT_CHANGES {
            dropped.extend(self.changes.drain(..KEPT_CHANGES));
        }
        if let Some(last) = dropped.last() {
            self.complete = self.complete.max(last.revision);
        }
        if lost {
            self.complete = self.revision;
        }
        let complete = self.complete;
        self.branches
            .retain(|_, place| !place.gone || place.revision > complete);
        dropped
    }

    /// Names of the objects that hold the rules in force.
    pub(super) fn objects(&self) -> HashSet<String> {
        self.branches
            .values()
            .map(|place| part_name(&place.directory, place.part))
            .collect()
    }
}

/// Name of part `part` in `directory`.
pub(super) fn part_name(directory: &str, part: u32) -> String {
    format!("sheet/change/{directory}/{part}")
}

/// Encodes an object within its size limit.
pub(super) fn encode<T>(name: &str, value: &T) -> Result<Bytes, SheetStoreError>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).map_err(|error| damaged(name, &error))?;
    if body.len() > OBJECT_BYTES {
        return Err(SheetStoreError::TooLarge {
            name: name.to_owned(),
            bytes: body.len(),
        });
    }
    Ok(body.into())
}

/// Decodes an object and checks its format.
pub(super) fn decode<T>(name: &str, body: &[u8]) -> Result<T, SheetStoreError>
where
    T: DeserializeOwned,
{
    #[derive(Deserialize)]
    struct Head {
        format: u32,
    }

    let head = serde_json::from_slice::<Head>(body).map_err(|error| damaged(name, &error))?;
    if head.format != FORMAT {
        return Err(SheetStoreError::Format {
            name: name.to_owned(),
            format: head.format,
        });
    }
    serde_json::from_slice(body).map_err(|error| damaged(name, &error))
}

/// Splits changed branches into parts that each fit into one object.
pub(super) fn split(base: u64, branches: Vec<PartBranch>) -> Result<Vec<Part>, SheetStoreError> {
    const HEAD_BYTES: usize = 256;

    let mut parts = Vec::<Part>::new();
    let mut room = 0;
    for branch in branches {
        let bytes = encode(&branch.rules.branch, &branch)?.len() + 1;
        if bytes > room || parts.is_empty() {
            parts.push(Part {
                format: FORMAT,
                base,
                branches: Vec::new(),
            });
            room = OBJECT_BYTES - HEAD_BYTES;
        }
        room = room.saturating_sub(bytes);
        if let Some(part) = parts.last_mut() {
            part.branches.push(branch);
        }
    }
    Ok(parts)
}

fn damaged(name: &str, error: &serde_json::Error) -> SheetStoreError {
    SheetStoreError::Damaged {
        name: name.to_owned(),
        cause: error.to_string(),
    }
}
