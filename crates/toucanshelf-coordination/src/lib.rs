//! Replicated log, leases and membership without I/O.
//!
//! Nothing here reads a clock, draws randomness from the system or touches a socket: time and
//! seeds come in as arguments, messages go out as values. That lets every failure be replayed
//! from a seed, and lets the parts be embedded in other programs. The one exception is
//! [`store::RedbStore`], the durable store behind the [`store::LogStore`] border.
//!
//! A single replica that takes one command:
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
