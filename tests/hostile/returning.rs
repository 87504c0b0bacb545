//! Callers that come back as soon as their connection is closed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Time after which a caller whose connection is closed opens the next one.
const RETURN_PAUSE: Duration = Duration::from_millis(20);
/// Connections after which the process under test has met the crowd, for each caller.
const VISITS: usize = 20;
/// Time after which a crowd counts as met whose connections are closed late or never.
const MEET_TIMEOUT: Duration = Duration::from_secs(10);

/// A crowd of callers that send the same bytes on each connection, until dropped.
pub struct ReturningCrowd {
    callers: JoinSet<()>,
    visits: Arc<AtomicUsize>,
}

impl ReturningCrowd {
    /// Starts `count` callers that send `bytes`, and waits until the process has met them.
    pub async fn start(address: SocketAddr, count: usize, bytes: impl Into<Arc<[u8]>>) -> Self {
        let bytes = bytes.into();
        let visits = Arc::new(AtomicUsize::new(0));
        let mut callers = JoinSet::new();
        for _ in 0..count {
            let (bytes, visits) = (Arc::clone(&bytes), Arc::clone(&visits));
            callers.spawn(async move {
                loop {
                    // A connection that is refused or closed is the process's right.
                    let _ = visit(address, &bytes).await;
                    visits.fetch_add(1, Ordering::Relaxed);
                    tokio::time::sleep(RETURN_PAUSE).await;
                }
            });
        }
        let crowd = Self { callers, visits };
        let met = async {
            while crowd.visits.load(Ordering::Relaxed) < VISITS * crowd.callers.len() {
                tokio::time::sleep(RETURN_PAUSE).await;
            }
        };
        let _ = timeout(MEET_TIMEOUT, met).await;
        crowd
    }
}

/// Sends `bytes` on a connection, and keeps it open until the process closes it.
async fn visit(address: SocketAddr, bytes: &[u8]) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    tokio::io::copy(&mut stream, &mut tokio::io::sink()).await?;
    Ok(())
}
