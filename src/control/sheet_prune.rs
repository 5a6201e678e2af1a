use {
    super::{
        ChangeRecord, SheetStore, SheetStoreError,
        sheet_object::{FORMAT, Index, Part, encode, part_name},
    },
    crate::port::{Platform, PlatformError},
    std::collections::HashSet,
};

impl<P> SheetStore<P>
where
    P: Platform,
{
    /// Empties the objects that only the `dropped` records needed; the platform cannot delete them.
    ///
    /// A failure is logged and leaves unused objects behind; the sheet is not affected.
    pub(super) async fn prune(&self, index: &Index, dropped: &[ChangeRecord]) {
        if let Err(error) = self.empty_unneeded(index, dropped).await {
            log::warn!(error:% = error; "unused sheet objects not emptied, they keep taking up space");
        }
    }

    async fn empty_unneeded(
        &self,
        index: &Index,
        dropped: &[ChangeRecord],
    ) -> Result<(), SheetStoreError> {
        if dropped.is_empty() {
            return Ok(());
        }
        let mut needed = index.objects();
        needed.extend(self.objects(&index.changes).await?);
        for name in self.objects(dropped).await? {
            if !needed.contains(&name) {
                self.empty(&name).await?;
            }
        }
        Ok(())
    }

    /// Returns the names of the objects of `records` and of the objects that they replaced.
    async fn objects(&self, records: &[ChangeRecord]) -> Result<HashSet<String>, SheetStoreError> {
        let mut names = HashSet::new();
        for record in records {
            for number in 0..record.parts {
                let part = self.part(&record.directory, number).await?;
                let before = part.branches.into_iter().filter_map(|entry| entry.before);
                names.extend(before.map(|location| part_name(&location.directory, location.part)));
                names.insert(part_name(&record.directory, number));
            }
        }
        Ok(names)
    }

    /// Replaces the object `name` by a part without branches, unless it was changed since it was read.
    async fn empty(&self, name: &str) -> Result<(), SheetStoreError> {
        let Some(object) = self.platform.read(name).await? else {
            return Ok(());
        };
        let part = Part {
            format: FORMAT,
            base: 0,
            branches: Vec::new(),
        };
        let body = encode(name, &part)?;
        match self.platform.update(name, object.version, body).await {
            Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}
