//! Data types and deterministic logic shared by the programs of toucanshelf.
//!
//! This crate performs no I/O and uses neither a clock nor randomness. The replicated
//! [`state::ControlState`] applies each [`state::Command`] in log order and returns a
//! [`state::Reply`], so all replicas reach the same state.
//!
//! ```
//! use toucanshelf_core::layers::LayerRange;
//!
//! let stage = LayerRange::new(0, 10).unwrap();
//! assert_eq!(stage.len(), 10);
//! ```

pub mod arena;
pub mod claim;
pub mod configuration;
pub mod crash;
pub mod deployment;
pub mod deployment_patch;
pub mod digest;
pub mod document;
pub mod engine;
pub mod ids;
pub mod layers;
pub mod leaving;
pub mod names;
pub mod outcome;
pub mod rank;
pub mod registration;
pub mod registry;
pub mod state;
pub mod target;
pub mod ticket;
mod undeployed;
