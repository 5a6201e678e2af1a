use {
    super::{
        ChangeRecord, SheetStore, SheetStoreError,
        sheet_object::{INDEX, Index, Part, PartBranch, RulesLocation, encode, part_name, split},
    },
    crate::{
        board::Rule,
        decide::{RulesByBranch, by_branch},
        port::{BranchRules, Platform, PlatformError},
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Maximum number of attempts to submit while the index that was read turns out to be stale.
const READ_ATTEMPTS: u32 = 3;
/// Maximum number of attempts to write the index before the outcome is reported as unknown.
const WRITE_ATTEMPTS: u32 = 4;
/// Maximum length of a change id, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// A complete sheet that an operator submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Revision that the operator edited; 0 for the first sheet. It must be the one in force.
    pub base: u64,
    /// Rules of every branch.
    pub rules: Vec<Rule>,
    /// Change id, by which a repeated submission is recognised.
    pub change: String,
    /// Name of the submitter.
    pub author: String,
    /// Time of the submission, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Greatest revision known to the daemon; new revisions are greater, even if the store has lost
    /// it.
    pub known_revision: u64,
}

/// Result of a submission.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acceptance {
    /// Revision that contains the submitted rules.
    pub revision: u64,
    /// Number of branches that changed; 0 if the sheet was already in force.
    pub branches: u32,
}

impl Acceptance {
    fn new(index: &Index) -> Self {
        let branches = index.changes.last().map_or(0, |record| record.branches);
        Self {
            revision: index.revision,
            branches,
        }
    }
}

impl From<&ChangeRecord> for Acceptance {
    fn from(record: &ChangeRecord) -> Self {
        Self {
            revision: record.revision,
            branches: record.branches,
        }
    }
}

impl<P> SheetStore<P>
where
    P: Platform,
{
    /// Makes `submission` the sheet in force, completely or not at all.
    ///
    /// A submission that is repeated with its change id is recognised and returns its revision.
    ///
    /// Fails with `InvalidChangeId` or `ChangeReused` if the change id cannot be used, with `Conflict`
    /// if `base` is not the revision in force, with `TooLarge` if the rules of a branch or the index
    /// exceed the size limit of an object, with `Unknown` if the sheet may be in force although no
    /// response has confirmed it, and if the platform fails, or the index is damaged or written by
    /// another version of lentillead.
    pub async fn submit(&self, submission: Submission) -> Result<Acceptance, SheetStoreError> {
        check_change_id(&submission.change)?;
        for _ in 0..READ_ATTEMPTS {
            if let Some(acceptance) = self.attempt(&submission).await? {
                return Ok(acceptance);
            }
        }
        let cause =
            PlatformError::Unavailable("every read of the sheet index was stale".to_owned());
        Err(cause.into())
    }

    /// Submits once; returns `None` if the index that was read turned out to be stale.
    async fn attempt(
        &self,
        submission: &Submission,
    ) -> Result<Option<Acceptance>, SheetStoreError> {
        let (version, index) = self.index().await?;
        if let Some(record) = index.record(&submission.change) {
            return Ok(Some(record.into()));
        }
        let current = index.revision.max(submission.known_revision);
        check_base(submission.base, current)?;
        let stored = self.stored(&index, submission.known_revision).await?;
        let branches = changed_branches(&index, submission, stored.as_ref());
        if branches.is_empty() {
            return Ok(Some(Acceptance {
                revision: current,
                branches: 0,
            }));
        }
        let parts = split(submission.base, branches)?;
        let directory = format!("{}.{version}", submission.change);
        self.write_parts(&directory, &parts).await?;
        let (next, dropped) = next_index(index, submission, directory, &parts, stored.is_none());
        let acceptance = self.write_index(version, &next, submission).await?;
        if acceptance.is_some() {
            self.prune(&next, &dropped).await;
        }
        Ok(acceptance)
    }

    /// Returns the stored rules; `None` if some are damaged or the store has lost revisions, so that
    /// every branch has to be written.
    async fn stored(
        &self,
        index: &Index,
        known_revision: u64,
    ) -> Result<Option<RulesByBranch>, SheetStoreError> {
        if known_revision > index.revision {
            return Ok(None);
        }
        match self.rules_at(&index.branches).await {
            Ok(rules) => Ok(Some(rules)),
            Err(SheetStoreError::Damaged { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes the objects of a change.
    async fn write_parts(&self, directory: &str, parts: &[Part]) -> Result<(), SheetStoreError> {
        for (part, number) in parts.iter().zip(0..) {
            let name = part_name(directory, number);
            let body = encode(&name, part)?;
            self.write_part(&name, body).await?;
        }
        Ok(())
    }

    /// Creates an object, which an earlier attempt may have created with the same contents.
    ///
    /// Fails with `ChangeReused` if it exists with other contents.
    async fn write_part(&self, name: &str, body: Bytes) -> Result<(), SheetStoreError> {
        match self.platform.create(name, body.clone()).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Conflict { .. } | PlatformError::Unknown(_)) => {}
            Err(error) => return Err(error.into()),
        }
        match self.platform.read(name).await? {
            Some(object) if object.body == body => Ok(()),
            Some(_) => Err(SheetStoreError::ChangeReused(name.to_owned())),
            None => {
                self.platform.create(name, body).await?;
                Ok(())
            }
        }
    }

    /// Replaces the index.
    ///
    /// Returns `None` if it no longer has `version` although its revision is unchanged, and fails with
    /// `Conflict` if its revision has changed.
    async fn write_index(
        &self,
        version: u64,
        next: &Index,
        submission: &Submission,
    ) -> Result<Option<Acceptance>, SheetStoreError> {
        let body = encode(INDEX, next)?;
        let mut lost = None;
        for _ in 0..WRITE_ATTEMPTS {
            match self.replace_index(version, &body).await {
                Ok(_) => return Ok(Some(Acceptance::new(next))),
                Err(PlatformError::Conflict { .. }) => {}
                Err(cause @ PlatformError::Unknown(_)) => lost = Some(cause),
                Err(cause) => return Err(write_error(cause, lost, &submission.change)),
            }
            let (seen, index) = match self.index().await {
                Err(SheetStoreError::Platform(cause)) => {
                    return Err(unknown_outcome(cause, &submission.change));
                }
                read => read?,
            };
            if let Some(record) = index.record(&submission.change) {
                return Ok(Some(record.into()));
            }
            if seen > version {
                check_base(submission.base, index.revision)?;
                return Ok(None);
            }
        }
        let cause = PlatformError::Unknown("no write of the sheet index was confirmed".to_owned());
        Err(unknown_outcome(cause, &submission.change))
    }

    /// Creates the index, or replaces its `version`; returns the new version.
    async fn replace_index(&self, version: u64, body: &Bytes) -> Result<u64, PlatformError> {
        if version == 0 {
            return self.platform.create(INDEX, body.clone()).await;
        }
        self.platform.update(INDEX, version, body.clone()).await
    }
}

/// Returns the branches that `submission` changes; every branch if nothing is `stored`.
fn changed_branches(
    index: &Index,
    submission: &Submission,
    stored: Option<&RulesByBranch>,
) -> Vec<PartBranch> {
    let mut wanted = by_branch(submission.rules.iter().cloned());
    for (branch, location) in &index.branches {
        if !location.gone {
            wanted.entry(branch.clone()).or_default();
        }
    }
    let differs = |branch: &str, rules: &Vec<Rule>| {
        stored.is_none_or(|stored| stored.get(branch) != Some(rules))
    };
    wanted
        .into_iter()
        .filter(|(branch, rules)| differs(branch, rules))
        .map(|(branch, rules)| PartBranch {
            before: index.branches.get(&branch).cloned(),
            rules: BranchRules { branch, rules },
        })
        .collect()
}

/// Returns the index after `submission`, and the records that it no longer keeps.
///
/// `lost` says that stored rules were damaged or the store has lost revisions.
fn next_index(
    mut index: Index,
    submission: &Submission,
    directory: String,
    parts: &[Part],
    lost: bool,
) -> (Index, Vec<ChangeRecord>) {
    let revision = index.revision.max(submission.known_revision) + 1;
    for (part, number) in parts.iter().zip(0..) {
        for PartBranch { rules, .. } in &part.branches {
            let location = RulesLocation {
                revision,
                directory: directory.clone(),
                part: number,
                gone: rules.rules.is_empty(),
            };
            index.branches.insert(rules.branch.clone(), location);
        }
    }
    let branches = parts.iter().map(|part| part.branches.len()).sum::<usize>();
    let record = ChangeRecord {
        revision,
        change: submission.change.clone(),
        author: submission.author.clone(),
        time: submission.time,
        branches: branches as u32,
        directory,
        parts: parts.len() as u32,
    };
    let dropped = index.accept(record, lost);
    (index, dropped)
}

/// Checks the characters and the length of a change id, which becomes part of object names.
fn check_change_id(change: &str) -> Result<(), SheetStoreError> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if (1..=MAX_CHANGE_ID_BYTES).contains(&change.len()) && change.chars().all(allowed) {
        return Ok(());
    }
    Err(SheetStoreError::InvalidChangeId(change.to_owned()))
}

/// Fails with `Conflict` unless the submission is based on the `current` revision.
fn check_base(base: u64, current: u64) -> Result<(), SheetStoreError> {
    if base == current {
        return Ok(());
    }
    Err(SheetStoreError::Conflict { base, current })
}

/// Returns the error of a failed write; unknown if the response of an earlier one was lost.
fn write_error(cause: PlatformError, lost: Option<PlatformError>, change: &str) -> SheetStoreError {
    match lost {
        Some(lost) => unknown_outcome(lost, change),
        None => cause.into(),
    }
}

fn unknown_outcome(cause: PlatformError, change: &str) -> SheetStoreError {
    SheetStoreError::Unknown {
        change: change.to_owned(),
        cause,
    }
}
