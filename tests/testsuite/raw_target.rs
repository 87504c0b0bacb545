//! A target that writes bytes of its own, for answers that an HTTP library wouldn't send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::platform_support::reserve_port;

/// What the target writes in response to a caller's request.
#[derive(Clone, Copy, Debug)]
pub enum RawAnswer {
    /// A complete signed answer with this status line.
    StatusLine(&'static str),
    /// A complete signed answer with status 200 whose lines end with a line feed only.
    BareLineFeeds,
    /// A head that states no length, then this text; the connection ends with the answer.
    Unframed(&'static str),
    /// A chunked head and this text in a chunk. The target then listens no more, as if its process had
    /// ended, but the connection stays open.
    LastEvents(&'static str),
    /// A head without an end: it repeats this text until the connection closes.
    EndlessHead(&'static str),
    /// A head that states no length, then this text again and again until the connection closes.
    EndlessBody(&'static str),
}

/// A target that writes one [`RawAnswer`] per connection.
pub struct RawTarget {
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Number of callers' requests that have arrived.
    requests: Arc<AtomicUsize>,
    /// Number of bytes that were written without an end.
    endless_bytes: Arc<AtomicU64>,
    /// Number of endless answers that the receiver has ended by closing the connection.
    closed: Arc<AtomicUsize>,
}

impl RawTarget {
    /// Starts a target that answers every request with `answer`.
    pub async fn start(answer: RawAnswer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = Self {
            address,
            requests: Arc::default(),
            endless_bytes: Arc::default(),
            closed: Arc::default(),
        };
        let (requests, endless_bytes) = (target.requests.clone(), target.endless_bytes.clone());
        let closed = target.closed.clone();
        tokio::spawn(async move {
            let ended = Arc::new(Notify::new());
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = ended.notified() => {
                        drop(listener);
                        return reserve_port(address).await;
                    }
                };
                let Ok((stream, _)) = accepted else { return };
                let ended = Arc::clone(&ended);
                let (requests, endless_bytes) = (requests.clone(), endless_bytes.clone());
                let closed = closed.clone();
                tokio::spawn(async move {
                    let mut stream = stream;
                    let Some(head) = read_request(&mut stream).await else {
                        return;
                    };
                    // Calls of the target's own API are rejected.
                    if head.contains(" /api/") {
                        let rejection = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
                        let _ = stream.write_all(rejection).await;
                        return;
                    }
                    requests.fetch_add(1, Ordering::Relaxed);
                    let (start, endless) = answer_bytes(answer, &head);
                    if stream.write_all(start.as_bytes()).await.is_err() {
                        return;
                    }
                    if matches!(answer, RawAnswer::LastEvents(_)) {
                        ended.notify_one();
                        // The receiver closes the connection.
                        let _ = stream.read(&mut [0]).await;
                        return;
                    }
                    let Some(endless) = endless else { return };
                    let block = endless.repeat(4_096 / endless.len() + 1);
                    while stream.write_all(block.as_bytes()).await.is_ok() {
                        endless_bytes.fetch_add(block.len() as u64, Ordering::Relaxed);
                    }
                    closed.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        target
    }

    /// Returns the number of callers' requests that have arrived.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that were written without an end.
    pub fn endless_bytes(&self) -> u64 {
        self.endless_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of endless answers that the receiver has ended.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::Relaxed)
    }
}

/// Reads a request with its body, and returns the head in lower case.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).to_lowercase();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = header(&text, "content-length").and_then(|value| value.parse().ok());
            if buf.len() >= end + 4 + length.unwrap_or(0) {
                return Some(text[..end].to_owned());
            }
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.trim())
}

/// Returns the start of an answer, and the text that follows it without an end.
fn answer_bytes(answer: RawAnswer, head: &str) -> (String, Option<&'static str>) {
    let id = header(head, "x-toucanshelf-request-id").unwrap_or("-");
    let headers = format!(
        "x-toucanshelf-request-id: {id}\r\nx-toucanshelf-response-seal: raw\r\n\
         connection: close\r\n"
    );
    let start = format!("HTTP/1.1 200 OK\r\n{headers}");
    let whole = |line| format!("{line}\r\n{headers}content-length: 4\r\n\r\nbody");
    match answer {
        RawAnswer::StatusLine(line) => (whole(line), None),
        RawAnswer::BareLineFeeds => (whole("HTTP/1.1 200 OK").replace("\r\n", "\n"), None),
        RawAnswer::Unframed(body) => (format!("{start}\r\n{body}"), None),
        RawAnswer::LastEvents(text) => {
            let length = text.len();
            let head = format!("{start}transfer-encoding: chunked\r\n\r\n");
            (format!("{head}{length:x}\r\n{text}\r\n"), None)
        }
        RawAnswer::EndlessHead(text) => (start, Some(text)),
        RawAnswer::EndlessBody(text) => (format!("{start}\r\n"), Some(text)),
    }
}
