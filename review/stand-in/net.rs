//! A small HTTP/1.1 client and server on the standard library.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response; 0 if the status line is malformed.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().to_lowercase(), value.trim().to_string()));
        }
    }
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::other("malformed chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Ok(length) = message.header("content-length").parse() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let response = read_message(&mut BufReader::new(stream))?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

/// A listener whose connections can all be ended at once, as when a process dies.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Calls `serve` for each connection, on a thread of its own.
    pub fn start(
        address: SocketAddr,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let serve = Arc::new(serve);
        let (is_stopped, open) = (Arc::clone(&stopped), Arc::clone(&connections));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let serve = Arc::clone(&serve);
                std::thread::spawn(move || serve(stream));
            }
        });
        Ok(Self {
            address,
            stopped,
            connections,
        })
    }

    /// Closes the listener and all connections.
    pub fn kill(&self) {
        if self.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the thread that accepts connections, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Returns a port that is free on all `addresses`.
pub fn free_port(addresses: &[Ipv4Addr]) -> u16 {
    loop {
        let probe = TcpListener::bind((addresses[0], 0)).expect("a port is free");
        let port = probe.local_addr().expect("the socket is bound").port();
        let others = addresses[1..]
            .iter()
            .map(|ip| TcpListener::bind((*ip, port)));
        if others.collect::<io::Result<Vec<_>>>().is_ok() {
            return port;
        }
    }
}

pub fn socket(ip: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), port)
}
