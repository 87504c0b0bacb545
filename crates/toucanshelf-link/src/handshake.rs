//! Handshake in which both ends of a link prove knowledge of the shared key.
//!
//! Each end sends a hello with its identity, and a nonce, which is a random number. It then sends
//! its proof: an HMAC-SHA-256 under the shared key over both nonces and its own hello.

use std::fmt;

use hmac::{Hmac, KeyInit as _, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use toucanshelf_coordination::replica::ReplicaId;

use crate::frame::PROTOCOL_VERSION;

/// Minimum length of a [`SharedKey`], in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Secret key with which the processes of one system authenticate links to each other.
#[derive(Clone)]
pub struct SharedKey(Box<str>);

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(..)")
    }
}

impl SharedKey {
    /// Checks the length of a secret text and makes it a shared key.
    ///
    /// # Errors
    ///
    /// Fails when the key is shorter than 16 bytes.
    pub fn new(key: impl Into<Box<str>>) -> Result<Self, Box<str>> {
        let key = key.into();
        if key.len() < MIN_KEY_BYTES {
            return Err(format!("the link key must have at least {MIN_KEY_BYTES} bytes").into());
        }
        Ok(Self(key))
    }

    fn mac(&self, label: &str, nonces: [u64; 2], hello: &Hello) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(self.0.as_bytes()).expect("any key length fits");
        mac.update(label.as_bytes());
        mac.update(&nonces[0].to_le_bytes());
        mac.update(&nonces[1].to_le_bytes());
        let mut buf = Vec::new();
        ciborium::into_writer(hello, &mut buf).expect("a hello is always serialisable");
        mac.update(&buf);
        mac
    }

    /// Computes the proof that the sender of `hello` knows the key.
    ///
    /// The proof covers `hello`, both nonces and `label`, which names the end of the link that
    /// sends it.
    pub fn prove(&self, label: &str, nonces: [u64; 2], hello: &Hello) -> Vec<u8> {
        self.mac(label, nonces, hello)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Returns whether `proof` is the result of [`SharedKey::prove`] for the other arguments.
    ///
    /// The comparison takes constant time.
    pub fn verify(&self, label: &str, nonces: [u64; 2], hello: &Hello, proof: &[u8]) -> bool {
        self.mac(label, nonces, hello).verify_slice(proof).is_ok()
    }
}

/// Kind of process at one end of a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRole {
    /// The process is a gate.
    Gate,
    /// The process is a control instance.
    Control,
    /// The process is an ingress.
    Ingress,
}

/// Identity that a process sends to its peer in the handshake.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// Link protocol version that the process implements.
    pub version: u32,
    /// Kind of process that sends the hello.
    pub role: PeerRole,
    /// Name of the sending instance.
    pub name: Box<str>,
    /// Availability zone of the sending instance.
    pub zone: Box<str>,
    /// Id of a control instance's replica of the replicated log; `None` for other processes.
    pub replica: Option<ReplicaId>,
}

impl Hello {
    /// Creates the hello of a gate.
    pub fn for_gate(name: impl Into<Box<str>>, zone: impl Into<Box<str>>) -> Self {
        let version = PROTOCOL_VERSION;
        Self {
            version,
            role: PeerRole::Gate,
            name: name.into(),
            zone: zone.into(),
            replica: None,
        }
    }

    /// Creates the hello of an ingress.
    pub fn for_ingress(name: impl Into<Box<str>>, zone: impl Into<Box<str>>) -> Self {
        Self {
            role: PeerRole::Ingress,
            ..Self::for_gate(name, zone)
        }
    }

    /// Creates the hello of a control instance.
    pub fn for_control(
        name: impl Into<Box<str>>,
        zone: impl Into<Box<str>>,
        replica: ReplicaId,
    ) -> Self {
        let version = PROTOCOL_VERSION;
        let replica = Some(replica);
        Self {
            version,
            role: PeerRole::Control,
            name: name.into(),
            zone: zone.into(),
            replica,
        }
    }
}

/// Message that the two ends of a new link exchange before any frame.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum HandshakeMessage {
    /// The connecting end sends its identity and a nonce.
    Open { hello: Hello, nonce: u64 },
    /// The accepting end replies with its identity, its own nonce and its proof.
    Answer {
        hello: Hello,
        nonce: u64,
        proof: serde_bytes::ByteBuf,
    },
    /// The connecting end sends its proof, which completes the handshake.
    Finish { proof: serde_bytes::ByteBuf },
    /// The accepting end refuses the link because of the peer's protocol version.
    Refuse { reason: Box<str> },
}
