//! Links between toucanshelf processes, and HTTP clients for targets.
//!
//! A link is a `WebSocket` connection between gates, control instances and ingress instances.
//! [`link`] opens links and carries typed [`frame::Frame`]s over them, encoded as CBOR. In the
//! [`handshake`], both ends prove that they know the shared key.
//!
//! A target is a back end: a model engine or a plain HTTP service. [`engine`] and [`service`] each
//! define a client trait for one kind of target, and a client that implements the protocol in
//! `docs/PROTOCOLS.md`. [`dialect`] is the interface that is implemented once for each
//! platform-specific HTTP protocol.
//!
//! ```
//! use toucanshelf_link::handshake::SharedKey;
//!
//! assert!(SharedKey::new("short").is_err());
//! assert!(SharedKey::new("a key of at least sixteen bytes").is_ok());
//! ```

mod activity;
pub mod dialect;
pub mod engine;
pub mod engine_report;
pub mod exchange;
pub mod frame;
pub mod handshake;
pub mod link;
pub mod pending;
pub mod service;
