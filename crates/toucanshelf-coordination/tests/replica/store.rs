//! Tests of the durable store: reopening, replaced logs and corrupted files.

use toucanshelf_coordination::replica::{
    Entry, EntryBody, Index, LogSnapshot, Ready, ReplicaId, Term,
};
use toucanshelf_coordination::store::{LogStore as _, RedbStore, StoreError};

const ID: ReplicaId = ReplicaId(7);

fn entry(index: u64, term: u64) -> Entry {
    let body = EntryBody::Command(format!("command {index}").into_bytes());
    Entry {
        index: Index(index),
        term: Term(term),
        body,
    }
}

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> Ready {
    let entries = range.map(|index| entry(index, term)).collect();
    Ready {
        vote: Some((Term(term), Some(ID))),
        entries,
        ..Ready::default()
    }
}

#[test]
fn open_after_restart() {
    let directory = tempfile::tempdir().unwrap();
    let (mut store, id, _) = RedbStore::open(directory.path(), ID).unwrap();
    assert_eq!(id, ID);
    store.store(&entries(1..=5, 1)).unwrap();
    store.store(&entries(4..=4, 2)).unwrap();
    drop(store);
    let (_, id, stored) = RedbStore::open(directory.path(), ReplicaId(8)).unwrap();
    assert_eq!(id, ID, "the replica id must survive a restart");
    assert_eq!((stored.term, stored.vote), (Term(2), Some(ID)));
    let last = stored.entries.last().unwrap();
    assert_eq!(
        (last.index, last.term),
        (Index(4), Term(2)),
        "a later write at index 4 must delete entry 5"
    );
}

#[test]
fn open_emptied_folder() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("data");
    drop(RedbStore::open(&path, ID).unwrap());
    std::fs::remove_dir_all(&path).unwrap();
    let (_, id, stored) = RedbStore::open(&path, ReplicaId(8)).unwrap();
    assert_eq!(id, ReplicaId(8), "an emptied directory must get the new id");
    assert!(stored.entries.is_empty());
}

#[test]
fn open_after_installed_snapshot() {
    let directory = tempfile::tempdir().unwrap();
    let (mut store, _, _) = RedbStore::open(directory.path(), ID).unwrap();
    store.store(&entries(1..=50, 1)).unwrap();
    let snapshot = LogSnapshot {
        index: Index(40),
        term: Term(3),
        ..LogSnapshot::default()
    };
    let vote = Some((Term(3), None));
    let ready = Ready {
        vote,
        snapshot: Some(snapshot),
        log_reset: true,
        ..Ready::default()
    };
    store.store(&ready).unwrap();
    drop(store);
    let (_, _, stored) = RedbStore::open(directory.path(), ID).unwrap();
    assert_eq!(
        stored.last_index(),
        Index(40),
        "entries of the replaced log must be deleted"
    );
}

#[test]
fn open_damaged_file() {
    let directory = tempfile::tempdir().unwrap();
    let (mut store, _, _) = RedbStore::open(directory.path(), ID).unwrap();
    store.store(&entries(1..=500, 1)).unwrap();
    drop(store);
    let path = directory.path().join("log.redb");
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() / 3]).unwrap();
    let error = RedbStore::open(directory.path(), ID).unwrap_err();
    assert!(error.to_string().contains("log.redb"), "{error}");
}

#[test]
fn open_missing_entries() {
    let directory = tempfile::tempdir().unwrap();
    let (mut store, _, _) = RedbStore::open(directory.path(), ID).unwrap();
    store.store(&entries(1..=3, 1)).unwrap();
    store.store(&entries(9..=9, 1)).unwrap();
    drop(store);
    let error = RedbStore::open(directory.path(), ID).unwrap_err();
    assert!(matches!(error, StoreError::Corrupted { .. }), "{error}");
}
