//! Minimal HTTP/1.1 client and server parts on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Headers in the order in which they were received, with names in lower case.
pub type Headers = Vec<(String, String)>;

/// Returns the first header with this name in lower case.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| &**value)
}

/// A request as a server has received it.
pub struct Request {
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A response as a client has received it.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body has arrived up to its regular end.
    pub complete: bool,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn invalid(cause: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}

/// Reads a start line and headers; `None` if the connection has ended before.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head ends early"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no header"))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a chunked body; an empty one is the last.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(invalid("the body ends early"));
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| invalid("no chunk size"))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads a request on a server's connection; `None` if the client has closed it.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((line, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or("");
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(len) = header(&headers, "content-length") {
        let len: usize = len.parse().map_err(|_| invalid("no length"))?;
        body.resize(len, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        target: target.to_owned(),
        headers,
        body,
    }))
}

/// Reads a response; a body that ends early is returned as far as it came.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    let (line, headers) = loop {
        let head = read_head(reader)?;
        let head = head.ok_or_else(|| invalid("the connection ended without a response"))?;
        if !head.0.contains(" 100 ") {
            break head;
        }
    };
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| invalid("no status"))?;
    let mut body = Vec::new();
    let complete = if header(&headers, "transfer-encoding").is_some() {
        loop {
            match read_chunk(reader) {
                Ok(chunk) if chunk.is_empty() => break true,
                Ok(chunk) => body.extend(chunk),
                Err(_) => break false,
            }
        }
    } else if let Some(len) = header(&headers, "content-length") {
        let len: u64 = len.parse().map_err(|_| invalid("no length"))?;
        let read = reader.take(len).read_to_end(&mut body);
        read.is_ok() && body.len() as u64 == len
    } else {
        reader.read_to_end(&mut body).is_ok()
    };
    Ok(Response {
        status,
        headers,
        body,
        complete,
    })
}

/// Formats a request with its body.
pub fn format_request(
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A client's connection, which can be used for several requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects within a second, and waits at most `patience` for each read.
    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_write_timeout(Some(patience))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    pub fn receive(&mut self) -> io::Result<Response> {
        read_response(&mut self.reader)
    }

    pub fn exchange(&mut self, bytes: &[u8]) -> io::Result<Response> {
        self.send(bytes)?;
        self.receive()
    }
}

/// Sends one request on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Response> {
    let mut connection = Connection::open(address, patience)?;
    connection.exchange(&format_request(method, target, headers, body))
}

/// Returns the time since `start` in milliseconds.
pub fn ms_since(start: Instant) -> u128 {
    start.elapsed().as_millis()
}
