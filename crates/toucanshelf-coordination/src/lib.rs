//! Replicated log, leases and membership without I/O.
//!
//! No code here reads a clock, draws system randomness or opens a socket. Callers pass the time
//! and the seeds as arguments and get the outgoing messages as values. Any failure can therefore
//! be reproduced from its seed, and the crate can be embedded in other programs. The only
//! exception is [`store::RedbStore`], which implements the [`store::LogStore`] trait on disk.
//!
//! A single replica that commits one command:
//!
//! ```
//! use toucanshelf_coordination::replica::{Persisted, Replica, ReplicaConfig, ReplicaId};
//!
//! let id = ReplicaId(1);
//! let mut replica = Replica::new(ReplicaConfig::new(id), Persisted::with_voters([id]), 7, 0);
//! replica.tick(10_000);
//! let ready = replica.ready();
//! replica.persisted(&ready);
//! replica.propose(b"open".to_vec()).unwrap();
//! let ready = replica.ready();
//! replica.persisted(&ready);
//! let committed = replica.take_committed();
//! assert_eq!(committed.last().unwrap().command(), Some(&b"open"[..]));
//! ```

pub mod membership;
pub mod replica;
pub mod store;
