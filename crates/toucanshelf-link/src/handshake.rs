//! Handshake in which both ends of a link prove that they know the shared key.

use std::fmt;

use hmac::{Hmac, KeyInit as _, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use toucanshelf_coordination::replica::ReplicaId;

use crate::frame::PROTOCOL_VERSION;

/// Shortest shared key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Key that all processes of one system share.
#[derive(Clone)]
pub struct SharedKey(Box<str>);

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(..)")
    }
}

impl SharedKey {
    /// Takes a key from the settings.
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

    /// Proof of the key, bound to both nonces and the prover's hello.
    pub fn prove(&self, label: &str, nonces: [u64; 2], hello: &Hello) -> Vec<u8> {
        self.mac(label, nonces, hello)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Checks a proof in constant time.
    pub fn verify(&self, label: &str, nonces: [u64; 2], hello: &Hello, proof: &[u8]) -> bool {
        self.mac(label, nonces, hello).verify_slice(proof).is_ok()
    }
}

/// Kind of process at an end of a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRole {
    /// A gate.
    Gate,
    /// A control instance.
    Control,
    /// An ingress.
    Ingress,
}

/// How a process introduces itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// Version of the protocol.
    pub version: u32,
    /// Kind of process.
    pub role: PeerRole,
    /// Name of the instance.
    pub name: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Replica on the disk of a control instance.
    pub replica: Option<ReplicaId>,
}

impl Hello {
    /// Introduces a gate.
    pub fn with_gate(name: impl Into<Box<str>>, zone: impl Into<Box<str>>) -> Self {
        let version = PROTOCOL_VERSION;
        Self {
            version,
            role: PeerRole::Gate,
            name: name.into(),
            zone: zone.into(),
            replica: None,
        }
    }

    /// Introduces an ingress.
    pub fn with_ingress(name: impl Into<Box<str>>, zone: impl Into<Box<str>>) -> Self {
        Self {
            role: PeerRole::Ingress,
            ..Self::with_gate(name, zone)
        }
    }

    /// Introduces a control instance.
    pub fn with_control(
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

/// Steps of the handshake.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Step {
    /// Connecting end: who it is and a nonce.
    Open { hello: Hello, nonce: u64 },
    /// Accepting end: who it is, its nonce and its proof.
    Answer {
        hello: Hello,
        nonce: u64,
        proof: serde_bytes::ByteBuf,
    },
    /// Connecting end: its proof.
    Finish { proof: serde_bytes::ByteBuf },
    /// Accepting end: why it refuses.
    Refuse { reason: Box<str> },
}
