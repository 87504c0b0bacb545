//! Links between toucanshelf processes, and HTTP clients for targets.
//!
//! [`link`] carries typed [`frame::Frame`]s, encoded as CBOR, over `WebSocket` connections between
//! gates, control instances and ingress instances; both ends prove knowledge of the shared key.
//! [`engine`] and [`service`] each define a client trait for one kind of target, and one client
//! that implements the protocol in `docs/PROTOCOLS.md`. [`dialect`] defines the interface to
//! platform-specific HTTP protocols; a further protocol is a further implementation of it.
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
