//! Identities of replicas, and the initial membership of a new log.

use toucanshelf_coordination::replica::{Persisted, Ready, ReplicaId};
use toucanshelf_coordination::store::{LogStore as _, RedbStore, StoreError};

/// Disk number in the replica ids of a log's initial voters.
///
/// The disk number is the half of a [`ReplicaId`] that tells the disks of one instance apart.
const INITIAL_VOTER_DISK: u32 = 0;

/// Returns the identity of a replica whose disk is empty.
///
/// A replica that joins an existing log gets a random disk number, never that of an initial
/// voter.
pub(super) fn new_replica_id(name: &str, joins: bool) -> ReplicaId {
    let disk = if joins {
        (rand_u64() as u32).max(INITIAL_VOTER_DISK + 1)
    } else {
        INITIAL_VOTER_DISK
    };
    ReplicaId::new(instance_number(name), disk)
}

/// Stores the initial membership of a new log.
///
/// Every initial voter stores the same membership on its own disk.
pub(super) fn store_initial_membership(
    store: &mut RedbStore,
    initial_voters: &[Box<str>],
) -> Result<Persisted, StoreError> {
    let ids = initial_voters.iter();
    let ids = ids.map(|name| ReplicaId::new(instance_number(name), INITIAL_VOTER_DISK));
    let persisted = Persisted::with_voters(ids);
    store.store(&Ready {
        snapshot: Some(persisted.snapshot.clone()),
        ..Ready::default()
    })?;
    Ok(persisted)
}

/// Derives the number of an instance from its name.
fn instance_number(name: &str) -> u32 {
    toucanshelf_core::digest::Digest::of(name.as_bytes()).prefix() as u32
}

/// Returns a random number.
pub(super) fn rand_u64() -> u64 {
    uuid::Uuid::new_v4().as_u64_pair().0
}
