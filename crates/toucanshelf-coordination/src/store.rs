//! Durable store of a replica.

use std::path::Path;

use redb::{Database, ReadableDatabase as _, ReadableTable as _, TableDefinition};
use serde::{Deserialize, Serialize};

use crate::replica::{Entry, LogSnapshot, Persisted, Ready, ReplicaId, Term};

const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
const VOTE_KEY: &str = "vote";
const IDENTITY_KEY: &str = "identity";
const SNAPSHOT_KEY: &str = "snapshot";
/// Name of the store's file in the data folder.
const FILE_NAME: &str = "log.redb";

/// Why a store can't be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The file can't be opened, read or written.
    #[error("{action} `{file}`: {cause}")]
    Io {
        /// What was being done.
        action: &'static str,
        /// File that is affected.
        file: Box<str>,
        /// Cause.
        cause: Box<str>,
    },
    /// The content is damaged.
    #[error("`{file}` is damaged: {what}; restore it from a backup or join as a new replica")]
    Damaged {
        /// File that is affected.
        file: Box<str>,
        /// What does not fit.
        what: Box<str>,
    },
}

/// Border behind which a replica's state is made durable.
pub trait LogStore: Send {
    /// Stores what `ready` holds; returns only once it is on the disk.
    ///
    /// # Errors
    ///
    /// Fails when the state may not be durable. The caller must then stop the replica.
    fn store(&mut self, ready: &Ready) -> Result<(), StoreError>;
}

/// Identity of a data folder.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Identity {
    replica: ReplicaId,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct StoredVote {
    term: Term,
    vote: Option<ReplicaId>,
}

/// Store in one `redb` file, synced at each write.
#[derive(Debug)]
pub struct RedbStore {
    database: Database,
    file: Box<str>,
}

impl RedbStore {
    /// Opens or creates the store in `folder` and reads what it holds.
    ///
    /// The replica's identity is on the disk: an emptied folder gets `fresh` as a new identity,
    /// so that a voter that lost its disk can't vote a second time.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be used or its content is damaged.
    pub fn open(
        folder: &Path,
        fresh: ReplicaId,
    ) -> Result<(Self, ReplicaId, Persisted), StoreError> {
        let path = folder.join(FILE_NAME);
        let file: Box<str> = path.display().to_string().into();
        std::fs::create_dir_all(folder).map_err(|e| io_error("creating", &file, &e))?;
        let database = Database::create(&path).map_err(|e| io_error("opening", &file, &e))?;
        let store = Self { database, file };
        let (replica, persisted) = store.load(fresh)?;
        Ok((store, replica, persisted))
    }

    fn load(&self, fresh: ReplicaId) -> Result<(ReplicaId, Persisted), StoreError> {
        let txn = self
            .database
            .begin_write()
            .map_err(|e| self.io("reading", &e))?;
        let mut out = Persisted::default();
        let replica;
        {
            let mut meta = txn.open_table(META).map_err(|e| self.io("reading", &e))?;
            replica = if let Some(identity) = self.meta::<Identity>(&meta, IDENTITY_KEY)? {
                identity.replica
            } else {
                let identity = encode(&Identity { replica: fresh });
                meta.insert(IDENTITY_KEY, &*identity)
                    .map_err(|e| self.io("writing", &e))?;
                fresh
            };
            if let Some(stored) = self.meta::<StoredVote>(&meta, VOTE_KEY)? {
                out.term = stored.term;
                out.vote = stored.vote;
            }
            if let Some(snapshot) = self.meta::<LogSnapshot>(&meta, SNAPSHOT_KEY)? {
                out.snapshot = snapshot;
            }
            let entries = txn
                .open_table(ENTRIES)
                .map_err(|e| self.io("reading", &e))?;
            for row in entries.iter().map_err(|e| self.io("reading", &e))? {
                let (index, value) = row.map_err(|e| self.io("reading", &e))?;
                let entry: Entry = self.decode("an entry", value.value())?;
                if entry.index.0 != index.value() {
                    return Err(self.damaged("an entry lies under a wrong index"));
                }
                out.entries.push(entry);
            }
        }
        txn.commit().map_err(|e| self.io("writing", &e))?;
        self.check_gaps(&out)?;
        Ok((replica, out))
    }

    fn check_gaps(&self, persisted: &Persisted) -> Result<(), StoreError> {
        let entries = &persisted.entries;
        let gap = entries
            .windows(2)
            .any(|pair| pair[1].index.0 != pair[0].index.0 + 1);
        let first = entries.first().map_or(1, |entry| entry.index.0);
        if gap || first > persisted.snapshot.index.0 + 1 {
            return Err(self.damaged("entries are missing"));
        }
        if entries
            .last()
            .is_some_and(|entry| entry.term > persisted.term)
        {
            return Err(self.damaged("the term is older than the last entry"));
        }
        Ok(())
    }

    fn meta<T: serde::de::DeserializeOwned>(
        &self,
        table: &redb::Table<'_, &'static str, &'static [u8]>,
        key: &str,
    ) -> Result<Option<T>, StoreError> {
        let value = table.get(key).map_err(|e| self.io("reading", &e))?;
        value
            .map(|value| self.decode(key, value.value()))
            .transpose()
    }

    fn decode<T: serde::de::DeserializeOwned>(
        &self,
        what: &str,
        bytes: &[u8],
    ) -> Result<T, StoreError> {
        ciborium::from_reader(bytes).map_err(|e| self.damaged(format!("reading {what}: {e}")))
    }

    fn damaged(&self, what: impl Into<Box<str>>) -> StoreError {
        StoreError::Damaged {
            file: self.file.clone(),
            what: what.into(),
        }
    }

    fn io(&self, action: &'static str, cause: &dyn std::fmt::Display) -> StoreError {
        io_error(action, &self.file, cause)
    }

    /// Number of entries on the disk.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read.
    pub fn entries_stored(&self) -> Result<u64, StoreError> {
        let txn = self
            .database
            .begin_read()
            .map_err(|e| self.io("reading", &e))?;
        let entries = txn
            .open_table(ENTRIES)
            .map_err(|e| self.io("reading", &e))?;
        redb::ReadableTableMetadata::len(&entries).map_err(|e| self.io("reading", &e))
    }
}

impl LogStore for RedbStore {
    fn store(&mut self, ready: &Ready) -> Result<(), StoreError> {
        let txn = self
            .database
            .begin_write()
            .map_err(|e| self.io("writing", &e))?;
        {
            let mut meta = txn.open_table(META).map_err(|e| self.io("writing", &e))?;
            let mut entries = txn
                .open_table(ENTRIES)
                .map_err(|e| self.io("writing", &e))?;
            if let Some((term, vote)) = ready.vote {
                let value = encode(&StoredVote { term, vote });
                meta.insert(VOTE_KEY, &*value)
                    .map_err(|e| self.io("writing", &e))?;
            }
            if let Some(snapshot) = &ready.snapshot {
                let value = encode(snapshot);
                meta.insert(SNAPSHOT_KEY, &*value)
                    .map_err(|e| self.io("writing", &e))?;
                let dropped = ready
                    .kept_from
                    .map_or(snapshot.index.0, |first| first.0 - 1);
                let last = if ready.log_reset { u64::MAX } else { dropped };
                entries
                    .retain_in(..=last, |_, _| false)
                    .map_err(|e| self.io("writing", &e))?;
            }
            if let Some(first) = ready.entries.first() {
                let replaced = first.index.0..;
                entries
                    .retain_in(replaced, |_, _| false)
                    .map_err(|e| self.io("writing", &e))?;
            }
            for entry in &ready.entries {
                let value = encode(entry);
                entries
                    .insert(entry.index.0, &*value)
                    .map_err(|e| self.io("writing", &e))?;
            }
        }
        txn.commit().map_err(|e| self.io("syncing", &e))
    }
}

fn io_error(action: &'static str, file: &str, cause: &dyn std::fmt::Display) -> StoreError {
    StoreError::Io {
        action,
        file: file.into(),
        cause: cause.to_string().into(),
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("stored values are always serialisable");
    buf
}
