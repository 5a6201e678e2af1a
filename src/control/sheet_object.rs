use {
    super::SheetStoreError,
    crate::port::BranchRules,
    bytes::Bytes,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::collections::{BTreeMap, HashSet},
};

/// Name of the index object, which holds the revision in force.
pub(super) const INDEX: &str = "sheet/index";
/// Version of the stored JSON format; objects of another version are rejected.
pub(super) const FORMAT: u32 = 1;
/// Maximum size of a stored object, in bytes.
pub(super) const MAX_OBJECT_BYTES: usize = 1_000_000;
/// Minimum number of accepted changes that are kept for `history`, `diff` and changes since a revision.
///
/// When the index holds twice as many, the oldest are dropped until this number is left.
pub(super) const MIN_KEPT_CHANGES: usize = 64;

/// Contents of the index object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Index {
    /// Format of the object; always `FORMAT`.
    pub format: u32,
    /// Revision in force.
    pub revision: u64,
    /// Oldest revision from which changes can be read; a reader at an older one gets the complete
    /// sheet.
    pub complete: u64,
    /// Location of the rules of each branch; the entry of a removed branch is kept for readers that
    /// still hold its rules.
    pub branches: BTreeMap<String, RulesLocation>,
    /// Latest accepted changes, oldest first.
    pub changes: Vec<ChangeRecord>,
}

/// Location of the stored rules of a branch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct RulesLocation {
    /// Revision that last changed the branch.
    pub revision: u64,
    /// Directory of the change that wrote the rules.
    pub directory: String,
    /// Number of the part of that change, from 0.
    pub part: u32,
    /// Whether the branch was removed and has no rules.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gone: bool,
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// Revision that the change created.
    pub revision: u64,
    /// Change id of the submission.
    pub change: String,
    /// Name of the submitter.
    pub author: String,
    /// Time of the submission, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Number of branches that it changed.
    pub branches: u32,
    /// Directory of the objects that hold its rules.
    pub directory: String,
    /// Number of objects in the directory.
    pub parts: u32,
}

/// Contents of one object of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Part {
    /// Format of the object; always `FORMAT`.
    pub format: u32,
    /// Revision on which the change was based.
    pub base: u64,
    /// Branches that the change set or removed.
    pub branches: Vec<PartBranch>,
}

/// A branch that a change set or removed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct PartBranch {
    /// Rules after the change; empty if the branch was removed.
    pub rules: BranchRules,
    /// Location of its rules before the change; `None` if it had none.
    pub before: Option<RulesLocation>,
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
    /// With `lost`, which means that stored rules were damaged or the store has lost revisions, every
    /// reader needs the complete sheet.
    pub(super) fn accept(&mut self, record: ChangeRecord, lost: bool) -> Vec<ChangeRecord> {
        self.revision = record.revision;
        self.changes.push(record);
        let mut dropped = Vec::new();
        if self.changes.len() >= 2 * MIN_KEPT_CHANGES {
            dropped.extend(self.changes.drain(..MIN_KEPT_CHANGES));
        }
        if let Some(last) = dropped.last() {
            self.complete = self.complete.max(last.revision);
        }
        if lost {
            self.complete = self.revision;
        }
        let complete = self.complete;
        self.branches
            .retain(|_, location| !location.gone || location.revision > complete);
        dropped
    }

    /// Returns the names of the objects that hold the rules in force.
    pub(super) fn objects(&self) -> HashSet<String> {
        self.branches
            .values()
            .map(|location| part_name(&location.directory, location.part))
            .collect()
    }
}

/// Returns the object name of part `part` of the change in `directory`.
pub(super) fn part_name(directory: &str, part: u32) -> String {
    format!("sheet/change/{directory}/{part}")
}

/// Encodes an object as JSON.
///
/// Fails with `TooLarge` if it exceeds `MAX_OBJECT_BYTES`, and with `Damaged` if it cannot be encoded.
pub(super) fn encode<T>(name: &str, value: &T) -> Result<Bytes, SheetStoreError>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).map_err(|error| damaged(name, &error))?;
    if body.len() > MAX_OBJECT_BYTES {
        return Err(SheetStoreError::TooLarge {
            name: name.to_owned(),
            bytes: body.len(),
        });
    }
    Ok(body.into())
}

/// Decodes an object.
///
/// Fails with `Format` if it is of another format version, and with `Damaged` if it cannot be decoded.
pub(super) fn decode<T>(name: &str, body: &[u8]) -> Result<T, SheetStoreError>
where
    T: DeserializeOwned,
{
    #[derive(Deserialize)]
    struct Header {
        format: u32,
    }

    let header = serde_json::from_slice::<Header>(body).map_err(|error| damaged(name, &error))?;
    if header.format != FORMAT {
        return Err(SheetStoreError::Format {
            name: name.to_owned(),
            format: header.format,
        });
    }
    serde_json::from_slice(body).map_err(|error| damaged(name, &error))
}

/// Splits changed branches into parts that each fit into one object.
///
/// Fails with `TooLarge` if the rules of one branch alone exceed the limit.
pub(super) fn split(base: u64, branches: Vec<PartBranch>) -> Result<Vec<Part>, SheetStoreError> {
    /// Room for the fields of a part other than its branches, in bytes.
    const HEADER_BYTES: usize = 256;

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
            room = MAX_OBJECT_BYTES - HEADER_BYTES;
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
