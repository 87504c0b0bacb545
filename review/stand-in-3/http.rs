//! Small blocking HTTP/1.1 reader and writer for the stand-ins.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Header fields in order.
    pub headers: Vec<(String, String)>,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing demands.
    pub complete: bool,
}

impl Message {
    /// Value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; returns their number, which is 0 at the end.
    fn fill(&mut self) -> Result<usize> {
        let mut part = [0; 16384];
        let len = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..len]);
        Ok(len)
    }

    fn line(&mut self) -> Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, len: usize, out: &mut Vec<u8>) -> Result<bool> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                out.append(&mut self.buf);
                return Ok(false);
            }
        }
        out.extend(self.buf.drain(..len));
        Ok(true)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> Result<Option<Message>> {
        let Some(first) = self.line()? else { return Ok(None) };
        let mut message = Message { first, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of `message`; without framing, up to the end if `until_close` is set.
    pub fn body(&mut self, message: &mut Message, until_close: bool) -> Result<()> {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
        let mut body = Vec::new();
        let result = if chunked {
            self.chunks(&mut body)
        } else if let Some(len) = message.header("content-length").and_then(|v| v.parse().ok()) {
            self.exact(len, &mut body)
        } else if until_close {
            loop {
                match self.fill() {
                    Ok(0) => break Ok(true),
                    Ok(_) => {}
                    Err(e) => break Err(e),
                }
            }
            .inspect(|_| body.append(&mut self.buf))
        } else {
            Ok(true)
        };
        message.body = body;
        message.complete = result?;
        Ok(())
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> Result<bool> {
        loop {
            let Some(line) = self.line()? else { return Ok(false) };
            let size = line.split(';').next().unwrap_or("").trim();
            let Ok(size) = usize::from_str_radix(size, 16) else { return Ok(false) };
            if size == 0 {
                return Ok(self.line()?.is_some());
            }
            if !self.exact(size, body)? || self.line()?.is_none() {
                return Ok(false);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one call on a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<Message> {
    let mut conn = Conn::connect(address, timeout)?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    conn.write(text.as_bytes())?;
    let head = conn.head()?;
    let mut response = head.ok_or_else(|| std::io::Error::other("no response"))?;
    conn.body(&mut response, true)?;
    Ok(response)
}
