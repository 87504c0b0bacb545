//! Loopback proxy that delays, cuts, silences and resets connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What happens to the bytes of all connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// They pass.
    Open,
    /// They pass after a while.
    Delayed(Duration),
    /// Bytes towards the target are held up, its answers pass.
    OneWay,
    /// Bytes are held up both ways; connections stay open.
    Silent,
}

impl Path {
    fn holds_up(self, towards_target: bool) -> bool {
        match self {
            Self::Open | Self::Delayed(_) => false,
            Self::OneWay => towards_target,
            Self::Silent => true,
        }
    }
}

/// A proxy before one address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    path: watch::Sender<Path>,
    /// Number of resets so far; each closes all connections.
    resets: watch::Sender<u64>,
}

impl Proxy {
    /// Listens on loopback and passes connections on to `target` until the proxy is dropped.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let (path, path_rx) = watch::channel(Path::Open);
        let (resets, resets_rx) = watch::channel(0);
        tokio::spawn(accept(listener, target, path_rx, resets_rx));
        Ok(Self {
            address,
            path,
            resets,
        })
    }

    /// Address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to bytes from now on.
    pub fn set_path(&self, path: Path) {
        self.path.send_replace(path);
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mut path: watch::Receiver<Path>,
    resets: watch::Receiver<u64>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            ended = path.wait_for(|_| false) => {
                drop(ended);
                return;
            }
        };
        // A caller that is gone before it is accepted needs no connection.
        let Ok((near, _)) = accepted else { continue };
        tokio::spawn(pass(near, target, path.clone(), resets.clone()));
    }
}

/// Passes one connection on until it closes or is reset.
async fn pass(
    near: TcpStream,
    target: SocketAddr,
    path: watch::Receiver<Path>,
    mut resets: watch::Receiver<u64>,
) {
    resets.mark_unchanged();
    // The near end closes with this task where the target can't be reached.
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    tokio::select! {
        () = copy(near_rx, far_tx, path.clone(), true) => {}
        () = copy(far_rx, near_tx, path, false) => {}
        _ = resets.changed() => {}
    }
}

async fn copy(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut path: watch::Receiver<Path>,
    towards_target: bool,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok(len @ 1..) = rx.read(&mut buf).await else {
            return;
        };
        let open = path.wait_for(|path| !path.holds_up(towards_target));
        let Ok(open) = open.await.map(|path| *path) else {
            return;
        };
        if let Path::Delayed(delay) = open {
            tokio::time::sleep(delay).await;
        }
        if tx.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
