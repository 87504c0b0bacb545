//! Ordinary requests beside a crowd.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::platform_support::WAIT_TIMEOUT;

/// Time after which an ordinary request is sent again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after an attempt that failed.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);

/// An ordinary request, which is sent on a connection of its own.
#[derive(Clone, Debug)]
pub struct Call {
    address: SocketAddr,
    /// Request line and header lines.
    head: String,
    body: Vec<u8>,
}

impl Call {
    /// Creates a request without a body; `line` is the method and path.
    pub fn new(address: SocketAddr, line: &str) -> Self {
        Self {
            address,
            head: format!("{line} HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n"),
            body: Vec::new(),
        }
    }

    /// Adds a header line.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.head.push_str(name);
        self.head.push_str(": ");
        self.head.push_str(value);
        self.head.push_str("\r\n");
        self
    }

    /// Sets the body.
    pub fn with_body(self, body: impl Into<Vec<u8>>) -> Self {
        let body = body.into();
        Self { body, ..self }
    }

    /// Sends the request, and returns the response unless the connection fails.
    pub async fn send(&self) -> Option<String> {
        let exchange = async {
            let mut stream = TcpStream::connect(self.address).await?;
            let length = format!("content-length: {}\r\n\r\n", self.body.len());
            stream.write_all(self.head.as_bytes()).await?;
            stream.write_all(length.as_bytes()).await?;
            stream.write_all(&self.body).await?;
            let mut response = Vec::new();
            stream.read_to_end(&mut response).await?;
            std::io::Result::Ok(response)
        };
        let response = timeout(ATTEMPT_TIMEOUT, exchange).await.ok()?.ok()?;
        String::from_utf8(response).ok()
    }

    /// Sends the request until it is answered with a success.
    pub async fn wait_until_served(&self) {
        let mut response = String::new();
        let served = async {
            loop {
                response = self.send().await.unwrap_or_default();
                if response.starts_with("HTTP/1.1 20") {
                    return;
                }
                tokio::time::sleep(ATTEMPT_PAUSE).await;
            }
        };
        let served = timeout(WAIT_TIMEOUT, served).await;
        let line = self.head.lines().next();
        assert!(
            served.is_ok(),
            "no ordinary request was answered: {line:?}, last {response:?}"
        );
    }
}
