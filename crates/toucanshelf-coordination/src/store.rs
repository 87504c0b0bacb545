//! Durable storage of a replica's state.

use std::path::Path;

use redb::{Database, ReadableDatabase as _, ReadableTable as _, TableDefinition};
use serde::{Deserialize, Serialize};

use crate::replica::{Entry, LogSnapshot, Persisted, Ready, ReplicaId, Term};

const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
const VOTE_KEY: &str = "vote";
const IDENTITY_KEY: &str = "identity";
const SNAPSHOT_KEY: &str = "snapshot";
/// Name of the database file in the data directory.
const FILE_NAME: &str = "log.redb";

/// Error from opening, reading or writing the store of a replica.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The database cannot be created, opened, read or written.
    #[error("{action} `{file}` failed: {cause}")]
    Io {
        /// Operation on the file that failed, such as "reading".
        action: &'static str,
        /// Path of the database file.
        file: Box<str>,
        /// Description of the underlying error.
        cause: Box<str>,
    },
    /// The content of the database is corrupted.
    #[error("`{file}` is corrupted: {detail}; restore it from a backup or join as a new replica")]
    Corrupted {
        /// Path of the database file.
        file: Box<str>,
        /// Description of the inconsistency that was found in the database.
        detail: Box<str>,
    },
}

/// Interface to the durable storage of a replica's state.
pub trait LogStore: Send {
    /// Stores the state in `ready` and returns once it is durable.
    ///
    /// # Errors
    ///
    /// Fails if the state may not be durable. The caller must then stop the replica.
    fn store(&mut self, ready: &Ready) -> Result<(), StoreError>;
}

/// Stored id of the replica that a data directory belongs to.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Identity {
    replica: ReplicaId,
}

/// Stored term of a replica and its vote in that term.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct StoredVote {
    term: Term,
    vote: Option<ReplicaId>,
}

/// Store of a replica's state in a `redb` database, which syncs every write.
#[derive(Debug)]
pub struct RedbStore {
    database: Database,
    file: Box<str>,
}

impl RedbStore {
    /// Opens or creates the store in `directory`.
    ///
    /// Returns the store with the id and the state of its replica. The id is stored with the data.
    /// An empty directory receives `new_id`, so that a voter that lost its disk cannot vote twice
    /// under its old id.
    ///
    /// # Errors
    ///
    /// Fails if the database file cannot be used or its content is corrupted.
    pub fn open(
        directory: &Path,
        new_id: ReplicaId,
    ) -> Result<(Self, ReplicaId, Persisted), StoreError> {
        let path = directory.join(FILE_NAME);
        let file: Box<str> = path.display().to_string().into();
        std::fs::create_dir_all(directory).map_err(|e| io_error("creating", &file, &e))?;
        let database = Database::create(&path).map_err(|e| io_error("opening", &file, &e))?;
        let store = Self { database, file };
        let (replica, persisted) = store.load(new_id)?;
        Ok((store, replica, persisted))
    }

    fn load(&self, new_id: ReplicaId) -> Result<(ReplicaId, Persisted), StoreError> {
        let txn = self
            .database
            .begin_write()
            .map_err(|e| self.io("reading", &e))?;
        let mut out = Persisted::default();
        let replica;
        {
            let mut meta = txn.open_table(META).map_err(|e| self.io("reading", &e))?;
            replica = if let Some(identity) = self.read_meta::<Identity>(&meta, IDENTITY_KEY)? {
                identity.replica
            } else {
                let identity = encode(&Identity { replica: new_id });
                meta.insert(IDENTITY_KEY, &*identity)
                    .map_err(|e| self.io("writing", &e))?;
                new_id
            };
            if let Some(stored) = self.read_meta::<StoredVote>(&meta, VOTE_KEY)? {
                out.term = stored.term;
                out.vote = stored.vote;
            }
            if let Some(snapshot) = self.read_meta::<LogSnapshot>(&meta, SNAPSHOT_KEY)? {
                out.snapshot = snapshot;
            }
            let entries = txn
                .open_table(ENTRIES)
                .map_err(|e| self.io("reading", &e))?;
            for row in entries.iter().map_err(|e| self.io("reading", &e))? {
                let (index, value) = row.map_err(|e| self.io("reading", &e))?;
                let entry: Entry = self.decode("a log entry", value.value())?;
                if entry.index.0 != index.value() {
                    return Err(self.corrupted("the key of an entry differs from its index"));
                }
                out.entries.push(entry);
            }
        }
        txn.commit().map_err(|e| self.io("writing", &e))?;
        self.check_consistency(&out)?;
        Ok((replica, out))
    }

    /// Checks that the loaded state is consistent.
    ///
    /// The entries must be contiguous and start no later than directly after the snapshot. The
    /// stored term must not be lower than the term of the last entry.
    fn check_consistency(&self, persisted: &Persisted) -> Result<(), StoreError> {
        let entries = &persisted.entries;
        let gap = entries
            .windows(2)
            .any(|pair| pair[1].index.0 != pair[0].index.0 + 1);
        let first = entries.first().map_or(1, |entry| entry.index.0);
        if gap || first > persisted.snapshot.index.0 + 1 {
            return Err(self.corrupted("log entries are missing"));
        }
        if entries
            .last()
            .is_some_and(|entry| entry.term > persisted.term)
        {
            return Err(self.corrupted("the stored term is lower than the term of the last entry"));
        }
        Ok(())
    }

    fn read_meta<T: serde::de::DeserializeOwned>(
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
        item: &str,
        bytes: &[u8],
    ) -> Result<T, StoreError> {
        ciborium::from_reader(bytes)
            .map_err(|e| self.corrupted(format!("decoding {item} failed: {e}")))
    }

    fn corrupted(&self, detail: impl Into<Box<str>>) -> StoreError {
        StoreError::Corrupted {
            file: self.file.clone(),
            detail: detail.into(),
        }
    }

    fn io(&self, action: &'static str, cause: &dyn std::fmt::Display) -> StoreError {
        io_error(action, &self.file, cause)
    }

    /// Returns the number of log entries in the store.
    ///
    /// # Errors
    ///
    /// Fails if the database cannot be read.
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
                let last_dropped = ready
                    .first_retained
                    .map_or(snapshot.index.0, |first| first.0 - 1);
                let last_deleted = if ready.log_reset {
                    u64::MAX
                } else {
                    last_dropped
                };
                entries
                    .retain_in(..=last_deleted, |_, _| false)
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
    ciborium::into_writer(value, &mut buf).expect("values in the store are always serialisable");
    buf
}
