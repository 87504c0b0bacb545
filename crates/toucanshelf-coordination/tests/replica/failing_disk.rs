//! Tests of the store on a disk that fails at any of its operations, and is opened again later.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::{cmp, io};

use redb::{BackendError, StorageBackend};
use toucanshelf_coordination::replica::{
    Entry, EntryBody, Index, LogSnapshot, Persisted, Ready, ReplicaId, Term,
};
use toucanshelf_coordination::store::{LogStore as _, RedbStore, StoreError};

const ID: ReplicaId = ReplicaId(7);

/// Disk in memory that refuses every change after a number of them.
#[derive(Clone, Debug, Default)]
struct Disk {
    content: Arc<Mutex<Vec<u8>>>,
    /// Number of changes that the disk still accepts.
    accepted: Arc<AtomicU64>,
}

impl Disk {
    fn set_accepted(&self, changes: u64) {
        self.accepted.store(changes, Ordering::SeqCst);
    }

    fn change(&self) -> Result<(), BackendError> {
        let accepted = self
            .accepted
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            });
        match accepted {
            Ok(_) => Ok(()),
            Err(_) => Err(io::Error::from(io::ErrorKind::StorageFull).into()),
        }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, BackendError> {
        Ok(self.content.lock().unwrap().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), BackendError> {
        let content = self.content.lock().unwrap();
        let from = offset as usize;
        out.copy_from_slice(&content[from..from + out.len()]);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), BackendError> {
        self.change()?;
        self.content.lock().unwrap().resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), BackendError> {
        self.change()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), BackendError> {
        self.change()?;
        let mut content = self.content.lock().unwrap();
        let from = offset as usize;
        let len = cmp::max(content.len(), from + data.len());
        content.resize(len, 0);
        content[from..from + data.len()].copy_from_slice(data);
        Ok(())
    }
}

fn open(disk: &Disk) -> Result<(RedbStore, ReplicaId, Persisted), StoreError> {
    RedbStore::open_on(disk.clone(), "log.redb", ID)
}

/// State of round `round`: a vote, ten entries after those before and, at times, a snapshot.
fn round(round: u64) -> Ready {
    let first = 10 * round + 1;
    let entries = (first..first + 10).map(|index| Entry {
        index: Index(index),
        term: Term(round + 1),
        body: EntryBody::Command(vec![round as u8; 700]),
    });
    let covered = (round % 3 == 2).then(|| Index(10 * (round - 1)));
    let snapshot = covered.map(|index| LogSnapshot {
        index,
        term: Term(round - 1),
        state: vec![round as u8; 5_000],
        ..LogSnapshot::default()
    });
    Ready {
        vote: Some((Term(round + 1), Some(ID))),
        first_retained: covered.map(|index| Index(index.0 + 1)),
        snapshot,
        entries: entries.collect(),
        ..Ready::default()
    }
}

/// A disk that fills up at any moment leaves each write there in whole or not at all, the store says
/// that it may recover, and once there is space it goes on from what was durable.
#[test]
fn store_on_disk_that_fills_up() {
    let mut failures = 0;
    for accepted in 0..400 {
        let disk = Disk::default();
        disk.set_accepted(u64::MAX);
        let (mut store, ..) = open(&disk).unwrap();
        store.store(&round(0)).unwrap();
        disk.set_accepted(accepted);
        let mut durable = 1;
        let failed = loop {
            if durable == 12 {
                break None;
            }
            match store.store(&round(durable)) {
                Ok(()) => durable += 1,
                Err(e) => break Some(e),
            }
        };
        drop(store);
        let Some(e) = failed else { break };
        failures += 1;
        assert!(e.may_recover(), "after {accepted} changes: {e}");
        if let Err(e) = open(&disk) {
            assert!(
                e.may_recover(),
                "opened on the full disk after {accepted} changes: {e}"
            );
        }
        disk.set_accepted(u64::MAX);
        let (mut store, id, persisted) = open(&disk).unwrap();
        assert_eq!(id, ID);
        let rounds = persisted.term.0;
        assert!(
            rounds == durable || rounds == durable + 1,
            "{durable} writes were durable, {rounds} were found after {accepted} changes"
        );
        assert_eq!(
            persisted.last_index(),
            Index(10 * rounds),
            "after {accepted} changes"
        );
        store.store(&round(rounds)).unwrap();
        drop(store);
        assert_eq!(
            open(&disk).unwrap().2.last_index(),
            Index(10 * (rounds + 1))
        );
    }
    assert!(failures > 50, "only {failures} moments were tried");
}

/// A store that is known to the disk can be opened while nothing can be written.
#[test]
fn open_on_full_disk() {
    let disk = Disk::default();
    disk.set_accepted(u64::MAX);
    let (mut store, ..) = open(&disk).unwrap();
    store.store(&round(0)).unwrap();
    drop(store);
    disk.set_accepted(0);
    match open(&disk) {
        Ok((_, id, persisted)) => assert_eq!((id, persisted.last_index()), (ID, Index(10))),
        Err(e) => assert!(e.may_recover(), "{e}"),
    }
}

/// A new store on a full disk fails so that the caller waits, and gets its id once there is space.
#[test]
fn create_on_full_disk() {
    let disk = Disk::default();
    let e = open(&disk).unwrap_err();
    assert!(e.may_recover(), "{e}");
    disk.set_accepted(u64::MAX);
    let (_, id, persisted) = open(&disk).unwrap();
    assert_eq!((id, persisted), (ID, Persisted::default()));
}
