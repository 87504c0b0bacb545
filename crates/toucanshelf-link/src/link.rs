//! Links: authenticated `WebSocket` connections between toucanshelf processes.
//!
//! Each link has a queue of outgoing and a queue of incoming frames. A frame is one message.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use http::header::UPGRADE;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::upgrade::OnUpgrade;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::server::create_response;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};

use crate::activity::CountedStream;
use crate::frame::{Frame, PROTOCOL_VERSION};
use crate::handshake::{HandshakeMessage, Hello, SharedKey};
use crate::pending::PendingHandshakes;

/// Maximum size of an encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 128 * 1024 * 1024;
/// Capacity of the queue in each direction of a link, in frames.
///
/// If the outgoing queue is full, the peer is too slow, and the holder of the [`Link`] should drop
/// it.
pub const MAX_QUEUED_FRAMES: usize = 1_024;
/// Time without incoming bytes or write progress after which a link is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without an outgoing frame after which a ping is sent.
///
/// Also the time limit for closing a link's connection in an orderly way.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time to write a frame from which on the write is logged as slow.
const SLOW_WRITE: Duration = Duration::from_millis(500);
/// Start of the path of the HTTP request that opens a link.
const PATH_PREFIX: &str = "/link/v";
/// Time limit for connecting to a peer and completing the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a handshake message, in bytes.
///
/// The limit applies until the peer has proved that it knows the key.
const MAX_HANDSHAKE_BYTES: usize = 4_096;
/// Maximum number of bytes that are read before the peer has proved that it knows the key.
///
/// The peer may send its first frames together with the last message of the handshake.
const MAX_UNPROVED_BYTES: u64 = 64 * 1024;
/// Size of the pieces in which a link is read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Receive buffer that is requested for a link, once the peer has proved that it knows the key, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 128 * 1024;

/// Reason why a link to another process could not be established.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection could not be opened, or the handshake took too long.
    #[error("cannot connect to {address}: {cause}")]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the network error, or `timeout`.
        cause: Box<str>,
    },
    /// The handshake failed, for example because the peer's proof does not match the key.
    #[error("link handshake failed: {0}")]
    Handshake(Box<str>),
    /// The peer refused the link, for example because of another protocol version.
    #[error("the peer refused the link: {0}")]
    Refused(Box<str>),
}

/// An established link to a peer.
///
/// The link closes when `tx` and all its clones are dropped; `rx` ends when the link is closed.
#[derive(Debug)]
pub struct Link {
    /// Identity that the peer sent in the handshake.
    pub peer: Hello,
    /// Sending end of the queue of frames to the peer.
    ///
    /// If the queue is full, the peer is too slow and the holder should drop the link.
    pub tx: mpsc::Sender<Frame>,
    /// Receiving end of the queue of frames from the peer.
    pub rx: mpsc::Receiver<Frame>,
}

type Socket = WebSocketStream<CountedStream>;

/// Opens a link to the process at `address`.
///
/// # Errors
///
/// Fails when the peer cannot be reached, uses a different protocol version or does not know the
/// key.
pub async fn connect(
    address: SocketAddr,
    hello: &Hello,
    key: &SharedKey,
) -> Result<Link, LinkError> {
    let unreachable = |cause: String| LinkError::Unreachable {
        address,
        cause: cause.into(),
    };
    let attempt = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}{PATH_PREFIX}{PROTOCOL_VERSION}");
        let config = Some(socket_config());
        let stream = CountedStream::new(stream);
        let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, config)
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        let peer = open_handshake(&mut socket, hello, key).await?;
        Ok(spawn_link(socket, peer))
    };
    match timeout(HANDSHAKE_TIMEOUT, attempt).await {
        Ok(result) => result,
        Err(_) => Err(unreachable("timeout".into())),
    }
}

/// Accepts links on `listener` and passes them to `links` until its receiver is dropped.
///
/// Until the handshake of a link is complete, it counts towards `pending`.
pub async fn serve(
    listener: TcpListener,
    hello: Hello,
    key: SharedKey,
    pending: Arc<PendingHandshakes>,
    links: mpsc::Sender<Link>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = links.closed() => return,
        };
        let Ok((stream, address)) = accepted else {
            // The process is probably out of file descriptors; some may be closed soon.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (hello, key, links) = (hello.clone(), key.clone(), links.clone());
        let handshake = async move { pass_on(address, accept(stream, &hello, &key), &links).await };
        pending.add(handshake);
    }
}

/// Returns whether an HTTP request opens a link, and isn't one that is served otherwise.
pub fn is_link_request<B>(req: &Request<B>) -> bool {
    req.headers().contains_key(UPGRADE) && req.uri().path().starts_with(PATH_PREFIX)
}

/// Accepts a link on an HTTP connection, for which `req` has asked, and returns the response.
///
/// Until the handshake is complete, it counts towards `pending`. Then the link is passed to `links`.
///
/// # Errors
///
/// Fails if the request doesn't open a `WebSocket`.
pub fn accept_upgrade(
    mut req: Request<Incoming>,
    hello: Hello,
    key: SharedKey,
    pending: &PendingHandshakes,
    links: mpsc::Sender<Link>,
) -> Result<Response<()>, LinkError> {
    let upgrade = hyper::upgrade::on(&mut req);
    let response = create_response(&req.map(|_| ()));
    let response = response.map_err(|e| LinkError::Handshake(e.to_string().into()))?;
    pending.add(async move {
        let stream = match upgraded_stream(upgrade).await {
            Ok(stream) => stream,
            Err(cause) => {
                tracing::warn!(event = "TS1101", cause, "link rejected");
                return;
            }
        };
        let Ok(address) = stream.peer_addr() else {
            return;
        };
        let accepted = async {
            let config = Some(socket_config());
            let stream = CountedStream::new(stream).with_read_limit(MAX_UNPROVED_BYTES);
            let mut socket = WebSocketStream::from_raw_socket(stream, Role::Server, config).await;
            let peer = accept_handshake(&mut socket, &hello, &key).await?;
            Ok(spawn_link(socket, peer))
        };
        pass_on(address, accepted, &links).await;
    });
    Ok(response)
}

/// Returns the TCP connection of an HTTP request once its response has been sent.
async fn upgraded_stream(upgrade: OnUpgrade) -> Result<TcpStream, Box<str>> {
    let upgraded = upgrade.await.map_err(|e| e.to_string())?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>();
    let parts = parts.map_err(|_| "the connection isn't a TCP connection")?;
    if !parts.read_buf.is_empty() {
        return Err("the peer didn't wait for the response".into());
    }
    Ok(parts.io.into_inner())
}

/// Passes an accepted link to `links`, or logs why there is none.
async fn pass_on(
    address: SocketAddr,
    accepted: impl Future<Output = Result<Link, LinkError>>,
    links: &mpsc::Sender<Link>,
) {
    match timeout(HANDSHAKE_TIMEOUT, accepted).await {
        Ok(Ok(link)) => drop(links.send(link).await),
        Ok(Err(e)) => {
            tracing::warn!(event = "TS1101", %address, cause = %e, "link rejected");
        }
        Err(_) => {
            tracing::warn!(event = "TS1101", %address, cause = "timeout", "link rejected");
        }
    }
}

async fn accept(stream: TcpStream, hello: &Hello, key: &SharedKey) -> Result<Link, LinkError> {
    let _ = stream.set_nodelay(true);
    let config = Some(socket_config());
    let stream = CountedStream::new(stream).with_read_limit(MAX_UNPROVED_BYTES);
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, config)
        .await
        .map_err(|e| LinkError::Handshake(e.to_string().into()))?;
    let peer = accept_handshake(&mut socket, hello, key).await?;
    Ok(spawn_link(socket, peer))
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn open_handshake(
    socket: &mut Socket,
    hello: &Hello,
    key: &SharedKey,
) -> Result<Hello, LinkError> {
    let local_nonce = nonce();
    send(
        socket,
        &HandshakeMessage::Open {
            hello: hello.clone(),
            nonce: local_nonce,
        },
    )
    .await?;
    let (peer, peer_nonce, proof) = match receive(socket).await? {
        HandshakeMessage::Answer {
            hello,
            nonce,
            proof,
        } => (hello, nonce, proof),
        HandshakeMessage::Refuse { reason } => return Err(LinkError::Refused(reason)),
        _ => return Err(LinkError::Handshake("unexpected handshake message".into())),
    };
    if !key.verify("accepting", [local_nonce, peer_nonce], &peer, &proof) {
        return Err(LinkError::Handshake(
            "the peer's proof does not match the link key".into(),
        ));
    }
    let proof = key.prove("connecting", [local_nonce, peer_nonce], hello);
    send(
        socket,
        &HandshakeMessage::Finish {
            proof: proof.into(),
        },
    )
    .await?;
    Ok(peer)
}

async fn accept_handshake(
    socket: &mut Socket,
    hello: &Hello,
    key: &SharedKey,
) -> Result<Hello, LinkError> {
    let HandshakeMessage::Open {
        hello: peer,
        nonce: peer_nonce,
    } = receive(socket).await?
    else {
        return Err(LinkError::Handshake("unexpected handshake message".into()));
    };
    if peer.version != PROTOCOL_VERSION {
        let reason: Box<str> =
            format!("version {} is not version {PROTOCOL_VERSION}", peer.version).into();
        send(
            socket,
            &HandshakeMessage::Refuse {
                reason: reason.clone(),
            },
        )
        .await?;
        return Err(LinkError::Handshake(reason));
    }
    let local_nonce = nonce();
    let proof = key.prove("accepting", [peer_nonce, local_nonce], hello);
    let answer = HandshakeMessage::Answer {
        hello: hello.clone(),
        nonce: local_nonce,
        proof: proof.into(),
    };
    send(socket, &answer).await?;
    let HandshakeMessage::Finish { proof } = receive(socket).await? else {
        return Err(LinkError::Handshake("unexpected handshake message".into()));
    };
    if !key.verify("connecting", [peer_nonce, local_nonce], &peer, &proof) {
        return Err(LinkError::Handshake(
            "the peer's proof does not match the link key".into(),
        ));
    }
    socket.get_mut().lift_limits(RECEIVE_BUFFER_BYTES);
    Ok(peer)
}

fn nonce() -> u64 {
    uuid::Uuid::new_v4().as_u64_pair().0
}

async fn send(socket: &mut Socket, value: &impl Serialize) -> Result<(), LinkError> {
    let sent = socket.send(Message::Binary(encode(value))).await;
    sent.map_err(|e| LinkError::Handshake(e.to_string().into()))
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> Result<T, LinkError> {
    let message = match socket.next().await {
        Some(Ok(message)) => message.into_data(),
        Some(Err(e)) => return Err(LinkError::Handshake(e.to_string().into())),
        None => return Err(LinkError::Handshake("the peer closed the link".into())),
    };
    if message.len() > MAX_HANDSHAKE_BYTES {
        return Err(LinkError::Handshake(
            "the handshake message is too large".into(),
        ));
    }
    ciborium::from_reader(&*message).map_err(|e| LinkError::Handshake(e.to_string().into()))
}

fn encode(value: &impl Serialize) -> Bytes {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("frames are always serialisable");
    buf.into()
}

fn spawn_link(socket: Socket, peer: Hello) -> Link {
    let (out_tx, mut out_rx) = mpsc::channel::<Frame>(MAX_QUEUED_FRAMES);
    let (in_tx, in_rx) = mpsc::channel(MAX_QUEUED_FRAMES);
    let (read, written) = {
        let stream = socket.get_ref();
        (stream.read.clone(), stream.written.clone())
    };
    let (mut sink, mut stream) = socket.split();
    let peer_name = peer.name.clone();
    let reader = tokio::spawn(async move {
        loop {
            let next = read.run_while_active(IDLE_TIMEOUT, stream.next());
            let Some(Some(Ok(message))) = next.await else {
                return;
            };
            if !message.is_binary() {
                continue;
            }
            match ciborium::from_reader::<Frame, _>(&*message.into_data()) {
                Ok(Frame::Ping) => {}
                Ok(frame) => {
                    if in_tx.send(frame).await.is_err() {
                        return;
                    }
                }
                Err(e) => {
                    tracing::warn!(event = "TS1102", cause = %e, "malformed frame; link closed");
                    return;
                }
            }
        }
    });
    tokio::spawn(async move {
        while !reader.is_finished() {
            let frame = match timeout(PING_INTERVAL, out_rx.recv()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => break,
                Err(_) => Frame::Ping,
            };
            let bytes = encode(&frame);
            let (size, started) = (bytes.len(), Instant::now());
            // Without the timeout, a peer that has stopped reading would block this task forever.
            let sending = sink.send(Message::Binary(bytes));
            let sent = written.run_while_active(IDLE_TIMEOUT, sending).await;
            let complete = matches!(sent, Some(Ok(())));
            if started.elapsed() >= SLOW_WRITE {
                tracing::warn!(
                    event = "TS1103",
                    peer = %peer_name,
                    bytes = size,
                    ms = started.elapsed().as_millis() as u64,
                    waiting = out_rx.len(),
                    complete,
                    "frame written slowly"
                );
            }
            if !complete {
                break;
            }
        }
        let _ = timeout(PING_INTERVAL, sink.close()).await;
        reader.abort();
    });
    Link {
        peer,
        tx: out_tx,
        rx: in_rx,
    }
}
