use {
    super::{
        ChangeRecord, SheetStoreError,
        sheet_object::{INDEX, Index, Part, RulesLocation, decode, part_name},
    },
    crate::{
        decide::RulesByBranch,
        port::{BranchRules, Platform, SheetChange},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The sheet as stored at the platform.
///
/// The index object names the revision in force and, for each branch, the object that holds its
/// rules. A change writes the rules of the branches that it changes into objects of its own and
/// then replaces the index conditionally, so that it takes effect completely or not at all.
#[derive(Clone, Debug)]
pub struct SheetStore<P> {
    pub(super) platform: P,
}

/// Position of a reader that follows the sheet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SheetCursor {
    /// Version of the index object that was read last; 0 before the first read.
    pub version: u64,
    /// Revision that the reader holds; 0 for none.
    pub revision: u64,
}

impl<P> SheetStore<P>
where
    P: Platform,
{
    /// Creates a store whose objects are kept at `platform`.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Returns the change from `revision` to the one in force; `None` if no later one is in force.
    ///
    /// Fails if the platform fails or an object is damaged.
    pub async fn changes_since(
        &self,
        revision: u64,
    ) -> Result<Option<SheetChange>, SheetStoreError> {
        let (_, index) = self.index().await?;
        self.changes(&index, revision).await
    }

    /// Waits up to `wait` for a revision later than that of `cursor`, and moves the cursor.
    ///
    /// Returns `None` if the time has passed or the store returned a revision that is not later. Fails
    /// if the platform fails or an object is damaged; the cursor then stays.
    pub async fn watch(
        &self,
        cursor: &mut SheetCursor,
        wait: Duration,
    ) -> Result<Option<SheetChange>, SheetStoreError> {
        let Some(object) = self.platform.watch(INDEX, cursor.version, wait).await? else {
            return Ok(None);
        };
        let index = decode::<Index>(INDEX, &object.body)?;
        let change = self.changes(&index, cursor.revision).await?;
        cursor.version = object.version;
        cursor.revision = cursor.revision.max(index.revision);
        Ok(change)
    }

    /// Returns the accepted changes that are still kept, oldest first.
    ///
    /// Fails if the platform fails or the index is damaged.
    pub async fn history(&self) -> Result<Vec<ChangeRecord>, SheetStoreError> {
        let (_, index) = self.index().await?;
        Ok(index.changes)
    }

    /// Returns the revision in force and its rules.
    ///
    /// Fails if the platform fails or an object is damaged.
    pub async fn current(&self) -> Result<(u64, RulesByBranch), SheetStoreError> {
        let (_, index) = self.index().await?;
        let rules = self.rules_at(&index.branches).await?;
        Ok((index.revision, rules))
    }

    /// Returns the rules as they were at `revision`.
    ///
    /// Fails with `NotKept` if the revision does not exist or is no longer kept, and if the platform
    /// fails or an object is damaged.
    pub async fn at(&self, revision: u64) -> Result<RulesByBranch, SheetStoreError> {
        let (_, index) = self.index().await?;
        if revision > index.revision || revision < index.complete {
            return Err(SheetStoreError::NotKept(revision));
        }
        let mut locations = index.branches;
        for record in index.changes.iter().rev() {
            if record.revision <= revision {
                break;
            }
            self.undo(record, &mut locations).await?;
        }
        self.rules_at(&locations).await
    }

    /// Returns the index and the version of its object; version 0 and an empty index before the first
    /// change.
    pub(super) async fn index(&self) -> Result<(u64, Index), SheetStoreError> {
        match self.platform.read(INDEX).await? {
            Some(object) => Ok((object.version, decode(INDEX, &object.body)?)),
            None => Ok((0, Index::default())),
        }
    }

    /// Returns the change from `since` to the revision of `index`, or the complete sheet if `since` is
    /// too old; `None` if the index has no later revision.
    async fn changes(
        &self,
        index: &Index,
        since: u64,
    ) -> Result<Option<SheetChange>, SheetStoreError> {
        if index.revision <= since {
            return Ok(None);
        }
        let complete = since < index.complete;
        let from = if complete { 0 } else { since };
        let locations = index
            .branches
            .iter()
            .filter(|(_, location)| location.revision > from && !(complete && location.gone))
            .map(|(branch, location)| (branch.clone(), location.clone()))
            .collect();
        let mut rules = self.rules_at(&locations).await?;
        let branches = locations.into_keys().map(|branch| BranchRules {
            rules: rules.remove(&branch).unwrap_or_default(),
            branch,
        });
        Ok(Some(SheetChange {
            from,
            revision: index.revision,
            branches: branches.collect(),
        }))
    }

    /// Returns the rules stored at `locations`, by branch.
    ///
    /// Fails with `Damaged` if a part does not hold a branch that it should.
    pub(super) async fn rules_at(
        &self,
        locations: &BTreeMap<String, RulesLocation>,
    ) -> Result<RulesByBranch, SheetStoreError> {
        let names = locations
            .values()
            .filter(|location| !location.gone)
            .map(|location| (location.directory.as_str(), location.part))
            .collect::<BTreeSet<_>>();
        let mut rules = RulesByBranch::new();
        for (directory, number) in names {
            let part = self.part(directory, number).await?;
            let stored = part.branches.into_iter().filter(|entry| {
                locations.get(&entry.rules.branch).is_some_and(|location| {
                    location.directory == directory && location.part == number && !location.gone
                })
            });
            rules.extend(stored.map(|entry| (entry.rules.branch, entry.rules.rules)));
        }
        check_complete(locations, &rules)?;
        Ok(rules)
    }

    /// Reads part `number` of the change in `directory`.
    pub(super) async fn part(&self, directory: &str, number: u32) -> Result<Part, SheetStoreError> {
        let name = part_name(directory, number);
        match self.platform.read(&name).await? {
            Some(object) => decode(&name, &object.body),
            None => Err(SheetStoreError::Damaged {
                name,
                cause: "it does not exist".to_owned(),
            }),
        }
    }

    /// Reverts the change `record` in `locations`.
    async fn undo(
        &self,
        record: &ChangeRecord,
        locations: &mut BTreeMap<String, RulesLocation>,
    ) -> Result<(), SheetStoreError> {
        for number in 0..record.parts {
            let part = self.part(&record.directory, number).await?;
            for entry in part.branches {
                match entry.before {
                    Some(location) => locations.insert(entry.rules.branch, location),
                    None => locations.remove(&entry.rules.branch),
                };
            }
        }
        Ok(())
    }
}

/// Checks that there are rules for every location.
///
/// They are missing if a part was emptied after the index was read.
fn check_complete(
    locations: &BTreeMap<String, RulesLocation>,
    rules: &RulesByBranch,
) -> Result<(), SheetStoreError> {
    let missing = locations
        .iter()
        .find(|(branch, location)| !location.gone && !rules.contains_key(*branch));
    match missing {
        Some((branch, location)) => Err(SheetStoreError::Damaged {
            name: part_name(&location.directory, location.part),
            cause: format!("it has no rules of branch `{branch}`"),
        }),
        None => Ok(()),
    }
}
