//! Callers that send the same bytes at the same time, and read nothing.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a caller whose bytes aren't taken stops sending.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a caller whose connection isn't accepted gives up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A crowd of callers, whose connections stay open until dropped.
pub struct Crowd(Vec<Caller>);

struct Caller {
    stream: TcpStream,
    /// Whether the caller's bytes are still taken.
    is_sending: bool,
}

impl Crowd {
    /// Connects `count` callers; those that are refused or not accepted are left out.
    pub async fn connect(address: SocketAddr, count: usize) -> Self {
        let connects = (0..count).map(|_| timeout(CONNECT_TIMEOUT, TcpStream::connect(address)));
        let streams = join_all(connects).await.into_iter().flatten();
        let callers = streams.flatten().map(|stream| Caller {
            stream,
            is_sending: true,
        });
        Self(callers.collect())
    }

    /// Connects callers that each send a request head, `line` being its method and path.
    pub async fn open(address: SocketAddr, count: usize, line: &str, headers: &str) -> Self {
        let mut crowd = Self::connect(address, count).await;
        let head = format!("{line} HTTP/1.1\r\nhost: a.example\r\n{headers}\r\n");
        crowd.send(head.as_bytes()).await;
        crowd
    }

    /// Adds the callers of another crowd.
    pub fn join(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Makes all callers send these bytes at the same time.
    ///
    /// A caller whose connection is closed, or whose bytes aren't taken, sends nothing more.
    pub async fn send(&mut self, bytes: &[u8]) {
        let callers = self.0.iter_mut().filter(|caller| caller.is_sending);
        let sends = callers.map(|caller| async move {
            let sent = timeout(SEND_TIMEOUT, caller.stream.write_all(bytes)).await;
            caller.is_sending = matches!(sent, Ok(Ok(())));
        });
        join_all(sends).await;
    }

    /// Waits until each caller has been sent something, or its connection is closed.
    pub async fn wait_for_answers(&self) {
        let answers = self.0.iter().map(|caller| caller.stream.readable());
        join_all(answers).await;
    }

    /// Makes all callers send `len` bytes in pieces, all the first one before any sends the second.
    pub async fn send_in_pieces(&mut self, len: usize, piece_len: usize) {
        let piece = vec![b'x'; piece_len];
        for start in (0..len).step_by(piece_len) {
            self.send(&piece[..piece_len.min(len - start)]).await;
        }
    }

    /// Makes all callers send `count` chunks of this content.
    pub async fn send_chunks(&mut self, count: usize, content: &[u8]) {
        let mut chunk = format!("{:x}\r\n", content.len()).into_bytes();
        chunk.extend_from_slice(content);
        chunk.extend_from_slice(b"\r\n");
        // Chunks are sent many at a time if they are small.
        let batch = (64 * 1024 / chunk.len()).clamp(1, count);
        let bytes = chunk.repeat(batch);
        for _ in 0..count.div_ceil(batch) {
            self.send(&bytes).await;
        }
    }
}
