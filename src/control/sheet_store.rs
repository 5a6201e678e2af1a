use {
    super::{
        ChangeRecord, SheetStoreError,
        sheet_object::{INDEX, Index, Part, Place, decode, part_name},
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

/// The sheet at the platform.
///
/// The index object names the revision in force and, for each branch, the object that holds its
/// rules. A change writes the rules of the branches that it changes into objects of its own and
/// then replaces the index conditionally, which makes it take effect as a whole or not at all.
#[derive(Clone, Debug)]
pub struct SheetStore<P> {
    pub(super) platform: P,
}

/// Place of a reader that follows the sheet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SheetCursor {
    /// Version of the index object that was seen last.
    pub version: u64,
    /// Revision that the reader holds.
    pub revision: u64,
}

impl<P> SheetStore<P>
where
    P: Platform,
{
    /// Creates a store at `platform`.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Returns the change from `revision` to the one in force; `None` if none is later.
    pub async fn changes_since(
        &self,
        revision: u64,
    ) -> Result<Option<SheetChange>, SheetStoreError> {
        let (_, index) = self.index().await?;
        self.changes(&index, revision).await
    }

    /// Waits up to `wait` for a revision later than that of `cursor`, and moves the cursor.
    ///
    /// Returns `None` when the time passed or the store answered with an older revision.
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
    pub async fn history(&self) -> Result<Vec<ChangeRecord>, SheetStoreError> {
        let (_, index) = self.index().await?;
        Ok(index.changes)
    }

    /// Returns the sheet in force and its revision.
    pub async fn current(&self) -> Result<(u64, RulesByBranch), SheetStoreError> {
        let (_, index) = self.index().await?;
        let rules = self.rules_at(&index.branches).await?;
        Ok((index.revision, rules))
    }

    /// Returns the sheet as it was at `revision`.
    pub async fn at(&self, revision: u64) -> Result<RulesByBranch, SheetStoreError> {
        let (_, index) = self.index().await?;
        if revision > index.revision || revision < index.complete {
            return Err(SheetStoreError::Gone(revision));
        }
        let mut places = index.branches;
        for record in index.changes.iter().rev() {
            if record.revision <= revision {
                break;
            }
            self.undo(record, &mut places).await?;
        }
        self.rules_at(&places).await
    }

    pub(super) async fn index(&self) -> Result<(u64, Index), SheetStoreError> {
        match self.platform.read(INDEX).await? {
            Some(object) => Ok((object.version, decode(INDEX, &object.body)?)),
            None => Ok((0, Index::default())),
        }
    }

    async fn changes(
        &self,
        index: &Index,
        since: u64,
    ) -> Result<Option<SheetChange>, SheetStoreError> {
        if index.revision <= since {
            return Ok(None);
        }
        let whole = since < index.complete;
        let from = if whole { 0 } else { since };
        let places = index
            .branches
            .iter()
            .filter(|(_, place)| place.revision > from && !(whole && place.gone))
            .map(|(branch, place)| (branch.clone(), place.clone()))
            .collect();
        let mut rules = self.rules_at(&places).await?;
        let branches = places.into_keys().map(|branch| BranchRules {
            rules: rules.remove(&branch).unwrap_or_default(),
            branch,
        });
        Ok(Some(SheetChange {
            from,
            revision: index.revision,
            branches: branches.collect(),
        }))
    }

    pub(super) async fn rules_at(
        &self,
        places: &BTreeMap<String, Place>,
    ) -> Result<RulesByBranch, SheetStoreError> {
        let names = places
            .values()
            .filter(|place| !place.gone)
            .map(|place| (place.directory.as_str(), place.part))
            .collect::<BTreeSet<_>>();
        let mut rules = RulesByBranch::new();
        for (directory, number) in names {
            let part = self.part(directory, number).await?;
            let here = part.branches.into_iter().filter(|entry| {
                places.get(&entry.rules.branch).is_some_and(|place| {
                    place.directory == directory && place.part == number && !place.gone
                })
            });
            rules.extend(here.map(|entry| (entry.rules.branch, entry.rules.rules)));
        }
        check_complete(places, &rules)?;
        Ok(rules)
    }

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

    async fn undo(
        &self,
        record: &ChangeRecord,
        places: &mut BTreeMap<String, Place>,
    ) -> Result<(), SheetStoreError> {
        for number in 0..record.parts {
            let part = self.part(&record.directory, number).await?;
            for entry in part.branches {
                match entry.before {
                    Some(place) => places.insert(entry.rules.branch, place),
                    None => places.remove(&entry.rules.branch),
                };
            }
        }
        Ok(())
    }
}

/// A part that was emptied after the index was read holds none of the branches.
fn check_complete(
    places: &BTreeMap<String, Place>,
    rules: &RulesByBranch,
) -> Result<(), SheetStoreError> {
    let missing = places
        .iter()
        .find(|(branch, place)| !place.gone && !rules.contains_key(*branch));
    match missing {
        Some((branch, place)) => Err(SheetStoreError::Damaged {
            name: part_name(&place.directory, place.part),
            cause: format!("it has no rules of branch `{branch}`"),
        }),
        None => Ok(()),
    }
}
