//! TCP proxy that can delay, block or reset the connections to one address.
//!
//! The target is the address to which the proxy forwards connections, and a client connects to the
//! proxy. A chunk is the bytes that one read from a connection returns.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Largest size of a chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// How the proxy forwards the bytes of all its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardMode {
    /// Forwards bytes in both directions without delay.
    Open,
    /// Waits for the given time before each chunk is forwarded, in both directions.
    Delayed(Duration),
    /// Holds back bytes from the client to the target; forwards those from the target.
    OneWay,
    /// Holds back bytes in both directions, while connections stay open.
    Silent,
}

impl ForwardMode {
    fn blocks(self, towards_target: bool) -> bool {
        match self {
            Self::Open | Self::Delayed(_) => false,
            Self::OneWay => towards_target,
            Self::Silent => true,
        }
    }
}

/// A running proxy for one target; it stops when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<ForwardMode>,
    /// Number of calls of [`Proxy::reset`]; each increment closes all open connections.
    resets: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    ///
    /// It listens on a free port of the target's IP address.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let (mode, mode_rx) = watch::channel(ForwardMode::Open);
        let (resets, resets_rx) = watch::channel(0);
        tokio::spawn(accept_connections(listener, target, mode_rx, resets_rx));
        Ok(Self {
            address,
            mode,
            resets,
        })
    }

    /// Address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how bytes are forwarded from now on, also in open connections.
    pub fn set_mode(&self, mode: ForwardMode) {
        self.mode.send_replace(mode);
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    mut mode: watch::Receiver<ForwardMode>,
    resets: watch::Receiver<u64>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // This ends only when the `Proxy`, which owns the sender of the mode, is dropped,
            // because the condition is false for every mode.
            closed = mode.wait_for(|_| false) => {
                drop(closed);
                return;
            }
        };
        // An error means that the client has disconnected already, so there is nothing to forward.
        let Ok((client, _)) = accepted else { continue };
        tokio::spawn(forward_connection(
            client,
            target,
            mode.clone(),
            resets.clone(),
        ));
    }
}

/// Forwards one connection until the client or the target closes it.
///
/// [`Proxy::reset`] also ends it.
async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<ForwardMode>,
    mut resets: watch::Receiver<u64>,
) {
    resets.mark_unchanged();
    // If the target can't be reached, the return drops `client`, which closes its connection.
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (client_rx, client_tx) = client.into_split();
    let (upstream_rx, upstream_tx) = upstream.into_split();
    tokio::select! {
        () = forward_bytes(client_rx, upstream_tx, mode.clone(), true) => {}
        () = forward_bytes(upstream_rx, client_tx, mode, false) => {}
        _ = resets.changed() => {}
    }
}

/// Forwards the bytes of one connection in one direction until an end closes it.
///
/// While the mode blocks this direction, it holds back what it has read and reads no more.
async fn forward_bytes(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut mode: watch::Receiver<ForwardMode>,
    towards_target: bool,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok(len @ 1..) = rx.read(&mut buf).await else {
            return;
        };
        let current = mode.wait_for(|mode| !mode.blocks(towards_target));
        let Ok(current) = current.await.map(|mode| *mode) else {
            return;
        };
        if let ForwardMode::Delayed(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if tx.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
