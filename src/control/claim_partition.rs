use {
    crate::{
        decide::{ClaimTable, ClaimTime, record_bytes},
        port::{ArchiveRef, ClaimHead, ClaimRecord, ClaimStore, PlatformError},
    },
    std::collections::{HashMap, HashSet},
};

/// Size of the records in a head, in bytes, above which they are moved to an archive.
const MAX_HEAD_BYTES: u64 = 32_768;
/// Maximum size of an archive, in bytes; records that would exceed it start a new archive.
const MAX_ARCHIVE_BYTES: u64 = 600_000;

/// A cached partition of the claim records: its head, and the table built from head and archives.
///
/// The store holds one head object per partition, updated conditionally, and archives that do not
/// change once written.
#[derive(Debug)]
pub(super) struct ClaimPartition<S> {
    store: S,
    /// Number of the partition.
    number: u32,
    /// Version of the head that was last read or written; 0 before the first write.
    version: u64,
    head: ClaimHead,
    /// Ids of the archives whose records are in `table`.
    loaded: HashSet<u64>,
    pub(super) table: ClaimTable,
}

impl<S> ClaimPartition<S>
where
    S: ClaimStore,
{
    pub(super) fn new(store: S, number: u32) -> Self {
        Self {
            store,
            number,
            version: 0,
            head: ClaimHead::default(),
            loaded: HashSet::new(),
            table: ClaimTable::default(),
        }
    }

    /// Reads the head, and the archives that were not read before.
    ///
    /// Fails with the error of a platform call, or with `Unavailable` if the head is older than the
    /// cached one.
    pub(super) async fn load(&mut self) -> Result<(), PlatformError> {
        let (version, head) = self.store.read_head(self.number).await?;
        if version < self.version {
            let reason = "the platform returned an older version of the claim head".into();
            return Err(PlatformError::Unavailable(reason));
        }
        for archive in &head.archives {
            if self.loaded.contains(&archive.id) {
                continue;
            }
            let records = self.store.read_archive(self.number, archive.id).await?;
            self.table.merge(records);
            self.loaded.insert(archive.id);
        }
        self.table.merge(head.records.iter().cloned());
        self.version = version;
        self.head = head;
        Ok(())
    }

    /// Appends `records` to the head by a conditional update.
    ///
    /// Moves the records of a full head to an archive first. Fails with `Conflict` if the head was
    /// replaced since it was read.
    pub(super) async fn append(
        &mut self,
        records: Vec<ClaimRecord>,
        time: ClaimTime,
    ) -> Result<(), PlatformError> {
        let mut next = self.head.clone();
        if bytes(&next.records) > MAX_HEAD_BYTES {
            next = self.archive(time).await?;
        }
        next.records.extend(records.iter().cloned());
        let written = self.store.write_head(self.number, self.version, &next);
        self.version = written.await?;
        self.head = next;
        self.table.merge(records);
        Ok(())
    }

    /// Moves the records of the head to an archive, together with those of the last archive if
    /// both fit; returns the head without them.
    ///
    /// The id of the archive is the version of the head, so that racing committers write the same
    /// one.
    async fn archive(&mut self, time: ClaimTime) -> Result<ClaimHead, PlatformError> {
        let mut archives = self.head.archives.clone();
        archives.retain(|archive| time.is_valid(archive.newest_ms));
        let room = MAX_ARCHIVE_BYTES.saturating_sub(bytes(&self.head.records));
        let mut records = Vec::new();
        if let Some(last) = archives.pop_if(|archive| archive.bytes <= room) {
            records = self.store.read_archive(self.number, last.id).await?;
        }
        records.extend(self.head.records.iter().cloned());
        let records = latest(records, time);
        let written = self
            .store
            .write_archive(self.number, self.version, &records);
        written.await?;
        archives.push(ArchiveRef {
            id: self.version,
            newest_ms: records.iter().map(|record| record.at_ms).max().unwrap_or(0),
            bytes: bytes(&records),
        });
        self.loaded.insert(self.version);
        self.table.prune(time);
        Ok(ClaimHead {
            archives,
            records: Vec::new(),
        })
    }
}

/// Approximate size of `records` in bytes.
fn bytes(records: &[ClaimRecord]) -> u64 {
    records
        .iter()
        .map(|record| record_bytes(record) as u64)
        .sum()
}

/// Returns the latest record of each key, sorted by key, without those past their retention.
fn latest(records: Vec<ClaimRecord>, time: ClaimTime) -> Vec<ClaimRecord> {
    let mut by_key = HashMap::new();
    for record in records {
        by_key.insert(record.key.clone(), record);
    }
    let mut records: Vec<_> = by_key.into_values().collect();
    records.retain(|record| time.is_valid(record.at_ms));
    records.sort_by(|a, b| a.key.cmp(&b.key));
    records
}
