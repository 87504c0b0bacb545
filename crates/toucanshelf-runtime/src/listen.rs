//! Listening sockets whose connections have bounded receive buffers.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Limits on what the system holds for the connections of a listener.
///
/// Bytes that have arrived and that the process hasn't read count as its memory. Without a limit the
/// system lets each receive buffer grow to megabytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenLimits {
    /// Receive buffer that is requested for each connection, in bytes.
    ///
    /// The system may accept half as much again.
    pub receive_buffer_bytes: u32,
    /// Number of connections that wait to be accepted.
    pub backlog: u32,
}

impl ListenLimits {
    /// Limits of a listener for callers, who come in crowds.
    pub const CALLERS: Self = Self {
        receive_buffer_bytes: 8 * 1024,
        backlog: 512,
    };
    /// Limits of a listener for a few callers, such as operators and probes.
    pub const FEW: Self = Self {
        receive_buffer_bytes: 8 * 1024,
        backlog: 128,
    };
    /// Limits of a listener for links, which all instances may open at the same time.
    pub const LINKS: Self = Self {
        receive_buffer_bytes: 8 * 1024,
        backlog: 1_024,
    };
}

/// Binds a listener.
///
/// # Errors
///
/// Fails if the address can't be bound; the message names it.
pub fn listen(address: SocketAddr, limits: ListenLimits) -> Result<TcpListener, Box<str>> {
    bind(address, limits).map_err(|e| format!("listening on {address}: {e}").into())
}

fn bind(address: SocketAddr, limits: ListenLimits) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted process takes over an address whose old connections are still closing.
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size only if it is set before the socket listens.
    socket.set_recv_buffer_size(limits.receive_buffer_bytes)?;
    socket.bind(address)?;
    socket.listen(limits.backlog)
}
