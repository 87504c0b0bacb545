//! Identifiers, names, configuration, tickets and outcomes of toucanshelf.
//!
//! Everything here is plain data and pure functions: no I/O, no clock and no randomness. The
//! replicated [`state::ControlState`] takes [`state::Command`]s in log order and answers each with
//! a [`state::Reply`], so that every replica reaches the same configuration.
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
pub mod deployment;
pub mod digest;
pub mod document;
pub mod engine;
pub mod ids;
pub mod layers;
pub mod names;
pub mod outcome;
pub mod registration;
pub mod registry;
pub mod state;
pub mod target;
pub mod ticket;
