//! Connections between toucanshelf processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::frame::{Frame, PROTOCOL_VERSION};
use crate::handshake::{Hello, SharedKey, Step};

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 128 * 1024 * 1024;
/// Frames that wait for a slow peer before the link is closed.
pub const QUEUED_FRAMES: usize = 1_024;
/// Time after which a silent link counts as broken.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between pings on an idle link.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time that the handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest message before the peer has proved its key, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 4_096;

/// Why a link could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The peer can't be reached.
    #[error("connecting to {address}: {cause}")]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        cause: Box<str>,
    },
    /// The peer broke the handshake.
    #[error("handshake: {0}")]
    Handshake(Box<str>),
    /// The peer refused the link.
    #[error("the peer refused the link: {0}")]
    Refused(Box<str>),
}

/// An open link. Dropping `tx` closes it; `rx` ends when the peer has gone.
#[derive(Debug)]
pub struct Link {
    /// Who the peer is.
    pub peer: Hello,
    /// Frames to the peer. When it is full the peer is too slow, and the link should be dropped.
    pub tx: mpsc::Sender<Frame>,
    /// Frames from the peer.
    pub rx: mpsc::Receiver<Frame>,
}

type Socket = WebSocketStream<TcpStream>;

/// Opens a link to `address`.
///
/// # Errors
///
/// Fails when the peer can't be reached, speaks another version or does not know the key.
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
        let url = format!("ws://{address}/link/v{PROTOCOL_VERSION}");
        let config = Some(socket_config());
        let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, config)
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        let peer = open_handshake(&mut socket, hello, key).await?;
        Ok(start(socket, peer))
    };
    match timeout(HANDSHAKE_TIMEOUT, attempt).await {
        Ok(result) => result,
        Err(_) => Err(unreachable("timeout".into())),
    }
}

/// Accepts links on `listener` until `links` is closed.
pub async fn serve(listener: TcpListener, hello: Hello, key: SharedKey, links: mpsc::Sender<Link>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = links.closed() => return,
        };
        let Ok((stream, address)) = accepted else {
            // Out of file descriptors; others may be closed soon.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (hello, key, links) = (hello.clone(), key.clone(), links.clone());
        tokio::spawn(async move {
            match timeout(HANDSHAKE_TIMEOUT, accept(stream, &hello, &key)).await {
                Ok(Ok(link)) => drop(links.send(link).await),
                Ok(Err(e)) => {
                    tracing::warn!(event = "TS1101", %address, cause = %e, "link refused");
                }
                Err(_) => {
                    tracing::warn!(event = "TS1101", %address, cause = "timeout", "link refused");
                }
            }
        });
    }
}

async fn accept(stream: TcpStream, hello: &Hello, key: &SharedKey) -> Result<Link, LinkError> {
    let _ = stream.set_nodelay(true);
    let config = Some(socket_config());
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, config)
        .await
        .map_err(|e| LinkError::Handshake(e.to_string().into()))?;
    let peer = accept_handshake(&mut socket, hello, key).await?;
    Ok(start(socket, peer))
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn open_handshake(
    socket: &mut Socket,
    hello: &Hello,
    key: &SharedKey,
) -> Result<Hello, LinkError> {
    let ours = nonce();
    send(
        socket,
        &Step::Open {
            hello: hello.clone(),
            nonce: ours,
        },
    )
    .await?;
    let (peer, theirs, proof) = match receive(socket).await? {
        Step::Answer {
            hello,
            nonce,
            proof,
        } => (hello, nonce, proof),
        Step::Refuse { reason } => return Err(LinkError::Refused(reason)),
        _ => return Err(LinkError::Handshake("unexpected step".into())),
    };
    if !key.verify("accepting", [ours, theirs], &peer, &proof) {
        return Err(LinkError::Handshake(
            "the peer does not know the link key".into(),
        ));
    }
    let proof = key.prove("connecting", [ours, theirs], hello);
    send(
        socket,
        &Step::Finish {
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
    let Step::Open {
        hello: peer,
        nonce: theirs,
    } = receive(socket).await?
    else {
        return Err(LinkError::Handshake("unexpected step".into()));
    };
    if peer.version != PROTOCOL_VERSION {
        let reason: Box<str> =
            format!("version {} is not version {PROTOCOL_VERSION}", peer.version).into();
        send(
            socket,
            &Step::Refuse {
                reason: reason.clone(),
            },
        )
        .await?;
        return Err(LinkError::Handshake(reason));
    }
    let ours = nonce();
    let proof = key.prove("accepting", [theirs, ours], hello);
    let answer = Step::Answer {
        hello: hello.clone(),
        nonce: ours,
        proof: proof.into(),
    };
    send(socket, &answer).await?;
    let Step::Finish { proof } = receive(socket).await? else {
        return Err(LinkError::Handshake("unexpected step".into()));
    };
    if !key.verify("connecting", [theirs, ours], &peer, &proof) {
        return Err(LinkError::Handshake(
            "the peer does not know the link key".into(),
        ));
    }
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
        return Err(LinkError::Handshake("message too large".into()));
    }
    ciborium::from_reader(&*message).map_err(|e| LinkError::Handshake(e.to_string().into()))
}

fn encode(value: &impl Serialize) -> Bytes {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("frames are always serialisable");
    buf.into()
}

fn start(socket: Socket, peer: Hello) -> Link {
    let (out_tx, mut out_rx) = mpsc::channel::<Frame>(QUEUED_FRAMES);
    let (in_tx, in_rx) = mpsc::channel(QUEUED_FRAMES);
    let (mut sink, mut stream) = socket.split();
    let reader = tokio::spawn(async move {
        loop {
            let Ok(Some(Ok(message))) = timeout(IDLE_TIMEOUT, stream.next()).await else {
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
            // A frozen peer must not hold the writer for ever.
            let sent = timeout(IDLE_TIMEOUT, sink.send(Message::Binary(encode(&frame)))).await;
            if !matches!(sent, Ok(Ok(()))) {
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
