//! Links between toucanshelf processes, and HTTP towards targets.
//!
//! [`link`] carries typed [`frame::Frame`]s over `WebSockets` and CBOR between gates and control
//! instances; both ends prove that they know the shared key. [`engine`] and [`service`] are the
//! borders towards targets: a trait each, with one adapter that speaks the protocol of
//! `docs/PROTOCOLS.md`. Another dialect is another adapter file.
//!
//! ```
//! use toucanshelf_link::handshake::SharedKey;
//!
//! assert!(SharedKey::new("short").is_err());
//! assert!(SharedKey::new("a key of at least sixteen bytes").is_ok());
//! ```

pub mod dialect;
pub mod engine;
pub mod exchange;
pub mod frame;
pub mod handshake;
pub mod link;
pub mod service;
