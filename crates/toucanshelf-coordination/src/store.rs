//! Durable storage of a replica's state.

use std::io;
use std::path::{Path, PathBuf};

use redb::{
    Database, ReadableDatabase as _, ReadableTable, StorageBackend, TableDefinition, TableError,
};
use serde::{Deserialize, Serialize};

use crate::replica::{Entry, LogSnapshot, Persisted, Ready, ReplicaId, Term};

const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
const VOTE_KEY: &str = "vote";
const IDENTITY_KEY: &str = "identity";
const SNAPSHOT_KEY: &str = "snapshot";
/// Name of the database file in the data directory.
const FILE_NAME: &str = "log.redb";

/// Number of the error that a failing disk returns for reads and writes.
const EIO: i32 = 5;

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
    /// The disk is full or fails, and may work again later.
    #[error("{action} `{file}` failed for now: {cause}")]
    Unavailable {
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

impl StoreError {
    /// Returns whether the store may work when it is opened again later.
    pub fn may_recover(&self) -> bool {
        matches!(self, Self::Unavailable { .. })
    }
}

/// Interface to the durable storage of a replica's state.
pub trait LogStore: Send {
    /// Stores the state in `ready` and returns once it is durable.
    ///
    /// # Errors
    ///
    /// Fails if the state may not be durable. The caller must then stop the replica, drop the store
    /// and open it again: the state is then there in whole or not at all.
    fn store(&mut self, ready: &Ready) -> Result<(), StoreError>;
}

/// A store with the id and the state of its replica.
pub type OpenedStore = (Box<dyn LogStore>, ReplicaId, Persisted);

/// Opens the store of a replica, at the start and again after each failure.
pub trait OpenStore: Send + Sync {
    /// Opens or creates the store. An empty one receives the id `new_id`.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be used; [`StoreError::Unavailable`] tells that it may work later.
    fn open(&self, new_id: ReplicaId) -> Result<OpenedStore, StoreError>;
}

/// Folder whose file `log.redb` holds the state of a replica.
#[derive(Clone, Debug)]
pub struct DataFolder {
    path: PathBuf,
}

impl DataFolder {
    /// Creates a handle to the folder, which needn't exist yet.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }
}

impl OpenStore for DataFolder {
    fn open(&self, new_id: ReplicaId) -> Result<OpenedStore, StoreError> {
        let (store, replica, persisted) = RedbStore::open(&self.path, new_id)?;
        Ok((Box::new(store), replica, persisted))
    }
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
        std::fs::create_dir_all(directory).map_err(|e| io_error("creating", &file, e))?;
        let database = Database::create(&path).map_err(|e| io_error("opening", &file, e))?;
        Self::with_database(database, file, new_id)
    }

    /// Opens or creates the store on a storage backend, whose name is `file` in errors.
    ///
    /// # Errors
    ///
    /// Fails as [`RedbStore::open`] does.
    pub fn open_on(
        backend: impl StorageBackend,
        file: impl Into<Box<str>>,
        new_id: ReplicaId,
    ) -> Result<(Self, ReplicaId, Persisted), StoreError> {
        let file = file.into();
        let database = Database::builder()
            .create_with_backend(backend)
            .map_err(|e| io_error("opening", &file, e))?;
        Self::with_database(database, file, new_id)
    }

    fn with_database(
        database: Database,
        file: Box<str>,
        new_id: ReplicaId,
    ) -> Result<(Self, ReplicaId, Persisted), StoreError> {
        let store = Self { database, file };
        let known = store.load()?;
        let (replica, persisted) = if let Some(known) = known {
            known
        } else {
            store.store_identity(new_id)?;
            (new_id, Persisted::default())
        };
        store.check_consistency(&persisted)?;
        Ok((store, replica, persisted))
    }

    /// Creates the tables and stores the id of the replica that the store belongs to.
    fn store_identity(&self, replica: ReplicaId) -> Result<(), StoreError> {
        let txn = self
            .database
            .begin_write()
            .map_err(|e| self.io("writing", e))?;
        {
            let mut meta = txn.open_table(META).map_err(|e| self.io("writing", e))?;
            let identity = encode(&Identity { replica });
            meta.insert(IDENTITY_KEY, &*identity)
                .map_err(|e| self.io("writing", e))?;
            txn.open_table(ENTRIES).map_err(|e| self.io("writing", e))?;
        }
        txn.commit().map_err(|e| self.io("writing", e))
    }

    /// Reads the id and the state of the replica; `None` if the store is new.
    // A full disk can't be written, so an existing store is opened by reading alone.
    fn load(&self) -> Result<Option<(ReplicaId, Persisted)>, StoreError> {
        let txn = self
            .database
            .begin_read()
            .map_err(|e| self.io("reading", e))?;
        let meta = match txn.open_table(META) {
            Ok(meta) => meta,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(self.io("reading", e)),
        };
        let Some(identity) = self.read_meta::<Identity>(&meta, IDENTITY_KEY)? else {
            return Ok(None);
        };
        let mut out = Persisted::default();
        if let Some(stored) = self.read_meta::<StoredVote>(&meta, VOTE_KEY)? {
            out.term = stored.term;
            out.vote = stored.vote;
        }
        if let Some(snapshot) = self.read_meta::<LogSnapshot>(&meta, SNAPSHOT_KEY)? {
            out.snapshot = snapshot;
        }
        let entries = txn.open_table(ENTRIES).map_err(|e| self.io("reading", e))?;
        for row in entries.iter().map_err(|e| self.io("reading", e))? {
            let (index, value) = row.map_err(|e| self.io("reading", e))?;
            let entry: Entry = self.decode("a log entry", value.value())?;
            if entry.index.0 != index.value() {
                return Err(self.corrupted("the key of an entry differs from its index"));
            }
            out.entries.push(entry);
        }
        Ok(Some((identity.replica, out)))
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
        table: &impl ReadableTable<&'static str, &'static [u8]>,
        key: &str,
    ) -> Result<Option<T>, StoreError> {
        let value = table.get(key).map_err(|e| self.io("reading", e))?;
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

    fn io(&self, action: &'static str, cause: impl Into<redb::Error>) -> StoreError {
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
            .map_err(|e| self.io("reading", e))?;
        let entries = txn.open_table(ENTRIES).map_err(|e| self.io("reading", e))?;
        redb::ReadableTableMetadata::len(&entries).map_err(|e| self.io("reading", e))
    }
}

impl LogStore for RedbStore {
    fn store(&mut self, ready: &Ready) -> Result<(), StoreError> {
        let txn = self
            .database
            .begin_write()
            .map_err(|e| self.io("writing", e))?;
        {
            let mut meta = txn.open_table(META).map_err(|e| self.io("writing", e))?;
            let mut entries = txn.open_table(ENTRIES).map_err(|e| self.io("writing", e))?;
            if let Some((term, vote)) = ready.vote {
                let value = encode(&StoredVote { term, vote });
                meta.insert(VOTE_KEY, &*value)
                    .map_err(|e| self.io("writing", e))?;
            }
            if let Some(snapshot) = &ready.snapshot {
                let value = encode(snapshot);
                meta.insert(SNAPSHOT_KEY, &*value)
                    .map_err(|e| self.io("writing", e))?;
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
                    .map_err(|e| self.io("writing", e))?;
            }
            if let Some(first) = ready.entries.first() {
                let replaced = first.index.0..;
                entries
                    .retain_in(replaced, |_, _| false)
                    .map_err(|e| self.io("writing", e))?;
            }
            for entry in &ready.entries {
                let value = encode(entry);
                entries
                    .insert(entry.index.0, &*value)
                    .map_err(|e| self.io("writing", e))?;
            }
        }
        txn.commit().map_err(|e| self.io("syncing", e))
    }
}

fn io_error(action: &'static str, file: &str, cause: impl Into<redb::Error>) -> StoreError {
    let cause = cause.into();
    let may_recover = match &cause {
        redb::Error::Io(e) => may_recover(e),
        redb::Error::PreviousIo => true,
        _ => false,
    };
    let (file, cause) = (file.into(), cause.to_string().into());
    if may_recover {
        StoreError::Unavailable {
            action,
            file,
            cause,
        }
    } else {
        StoreError::Io {
            action,
            file,
            cause,
        }
    }
}

/// Returns whether a disk that failed like this may work again later.
fn may_recover(e: &io::Error) -> bool {
    let kinds = [
        io::ErrorKind::Interrupted,
        io::ErrorKind::QuotaExceeded,
        io::ErrorKind::ReadOnlyFilesystem,
        io::ErrorKind::ResourceBusy,
        io::ErrorKind::StorageFull,
        io::ErrorKind::TimedOut,
    ];
    kinds.contains(&e.kind()) || e.raw_os_error() == Some(EIO)
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("values in the store are always serialisable");
    buf
}
