//! Tests of links: key and version checks in the handshake, and decoders.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::mpsc;
use toucanshelf_core::digest::Digest;
use toucanshelf_core::engine::EngineLine;
use toucanshelf_core::ids::{Revision, TicketNumber};
use toucanshelf_core::state::{ControlState, Reply};
use toucanshelf_core::target::Announcement;
use toucanshelf_core::ticket::{Ticket, TicketRecord, Verdict};
use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::{IDLE_TIMEOUT, Link, LinkError, connect, serve};
use toucanshelf_link::pending::PendingHandshakes;

fn key(text: &str) -> SharedKey {
    SharedKey::new(text).unwrap()
}

/// Starts a listener and returns its address and the links that it accepts.
async fn listen() -> (SocketAddr, mpsc::Receiver<Link>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel(4);
    let hello = Hello::for_gate("server", "a");
    tokio::spawn(serve(
        listener,
        hello,
        key("the shared key of tests"),
        PendingHandshakes::new(8),
        tx,
    ));
    (address, rx)
}

#[tokio::test(flavor = "multi_thread")]
async fn connect_and_exchange() {
    let (address, mut links) = listen().await;
    let hello = Hello::for_gate("client", "b");
    let link = connect(address, &hello, &key("the shared key of tests"))
        .await
        .unwrap();
    assert_eq!(&*link.peer.name, "server");
    link.tx.send(Frame::RecordsHash { hash: 7 }).await.unwrap();
    let mut accepted = links.recv().await.unwrap();
    assert_eq!(&*accepted.peer.zone, "b");
    assert!(matches!(
        accepted.rx.recv().await,
        Some(Frame::RecordsHash { hash: 7 })
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn connect_with_wrong_key() {
    let (address, mut links) = listen().await;
    let hello = Hello::for_gate("client", "b");
    let error = connect(address, &hello, &key("not the shared key of tests"))
        .await
        .unwrap_err();
    assert!(matches!(error, LinkError::Handshake(_)), "{error}");
    assert!(links.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn connect_with_other_version() {
    let (address, _links) = listen().await;
    let mut hello = Hello::for_gate("client", "b");
    hello.version = 99;
    let error = connect(address, &hello, &key("the shared key of tests"))
        .await
        .unwrap_err();
    assert!(error.to_string().contains("version 99"), "{error}");
}

/// Bytes that [`slow_proxy`] forwards at once.
const CHUNK_BYTES: usize = 64 * 1024;
/// Pause of [`slow_proxy`] after each chunk, much shorter than the idle timeout of a link.
const CHUNK_PAUSE: Duration = Duration::from_millis(100);

/// Starts a proxy that forwards what clients send to `target` slowly, and returns its address.
async fn slow_proxy(target: SocketAddr) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (client, _) = listener.accept().await.unwrap();
        let server = tokio::net::TcpStream::connect(target).await.unwrap();
        let (mut client_rx, mut client_tx) = client.into_split();
        let (mut server_rx, mut server_tx) = server.into_split();
        tokio::spawn(async move { tokio::io::copy(&mut server_rx, &mut client_tx).await });
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let len = client_rx.read(&mut buf).await.unwrap_or(0);
            if len == 0 || server_tx.write_all(&buf[..len]).await.is_err() {
                return;
            }
            if len == CHUNK_BYTES {
                tokio::time::sleep(CHUNK_PAUSE).await;
            }
        }
    });
    address
}

/// Guards against links that are closed as idle while a large frame is on its way.
///
/// A frame that takes longer than the idle timeout would never arrive, since it starts anew on
/// each new link.
#[tokio::test(flavor = "multi_thread")]
async fn large_frame_over_slow_link() {
    let (address, mut links) = listen().await;
    let address = slow_proxy(address).await;
    let hello = Hello::for_gate("client", "b");
    let link = connect(address, &hello, &key("the shared key of tests"))
        .await
        .unwrap();
    let mut accepted = links.recv().await.unwrap();
    let chunks = 2 * IDLE_TIMEOUT.as_millis() / CHUNK_PAUSE.as_millis();
    let document = vec![7; chunks as usize * CHUNK_BYTES];
    let frame = Frame::Deployment {
        version: 1,
        document: document.clone().into(),
    };
    link.tx.send(frame).await.unwrap();
    let received = accepted.rx.recv().await;
    let Some(Frame::Deployment { document: got, .. }) = received else {
        panic!("the link was closed: {received:?}");
    };
    assert!(*got == *document);
}

/// Guards against frames that are sent to a control instance of a build without them.
#[test]
fn members_of_older_build() {
    let frame = serde_json::json!({ "Members": { "links": [], "ingress_zones": ["z"] } });
    let mut buf = Vec::new();
    ciborium::into_writer(&frame, &mut buf).unwrap();
    let decoded: Frame = ciborium::from_reader(&*buf).unwrap();
    let Frame::Members {
        accepts_findings,
        issues_permits,
        sends_patches,
        lists_relays,
        accepts_subscriptions,
        calls_ingresses,
        hears_leader,
        wants_all_findings,
        collects_loads,
        ..
    } = decoded
    else {
        panic!()
    };
    assert!(!accepts_findings && !issues_permits && !sends_patches && !lists_relays);
    assert!(!accepts_subscriptions && !calls_ingresses && hears_leader);
    assert!(!wants_all_findings && !collects_loads);
}

/// Guards against a log that a control instance of a build without patches can't read.
#[test]
fn standing_of_older_build() {
    let frame = serde_json::json!({ "Standing": { "log": 7 } });
    let mut buf = Vec::new();
    ciborium::into_writer(&frame, &mut buf).unwrap();
    let decoded: Frame = ciborium::from_reader(&*buf).unwrap();
    let Frame::Standing {
        log,
        reads_patches,
        calls_ingresses,
        accepts_findings,
        accepts_departures,
        reads_leaving,
    } = decoded
    else {
        panic!()
    };
    assert!(log == Some(7) && !reads_patches && !calls_ingresses && !accepts_findings);
    assert!(!accepts_departures && !reads_leaving);
}

/// Guards against a conflict verdict that cannot be decoded from CBOR.
///
/// Serde buffers the content of a tagged enum and reports a human-readable format to it, even in
/// CBOR. A type such as `Digest`, whose form depends on the format, then expects the wrong form.
#[test]
fn decode_conflict_verdict() {
    let record = TicketRecord {
        number: TicketNumber(3),
        operator: "first".into(),
        digest: Digest::of(b"content"),
        verdict: Verdict::Applied {
            revision: Revision(2),
        },
    };
    let verdict = Verdict::Conflict {
        winner: Box::new(record),
    };
    let frame = Frame::Submitted {
        id: 1,
        result: Ok(Reply::Verdict(verdict.clone())),
    };
    let mut buf = Vec::new();
    ciborium::into_writer(&frame, &mut buf).unwrap();
    let decoded: Frame = ciborium::from_reader(&*buf).unwrap();
    let Frame::Submitted {
        result: Ok(Reply::Verdict(found)),
        ..
    } = decoded
    else {
        panic!()
    };
    assert_eq!(found, verdict);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_048, ..ProptestConfig::default() })]

    /// Guards against decoders that panic on arbitrary bytes.
    #[test]
    fn decode_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = ciborium::from_reader::<Frame, _>(&*bytes);
        let _ = serde_json::from_slice::<EngineLine>(&bytes);
        let _ = serde_json::from_slice::<Announcement>(&bytes);
        let _ = ControlState::from_bytes(&bytes);
        let _ = Ticket::parse(&String::from_utf8_lossy(&bytes));
        let _ = toucanshelf_gate::completions::parse_chat(&bytes);
        let _ = toucanshelf_gate::completions::parse_completion(&bytes);
    }

    /// Guards against frame decoding that panics on an encoded frame with one corrupted byte.
    #[test]
    fn decode_damaged_frame(position in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let frame = Frame::Records { records: Vec::new() };
        let mut buf = Vec::new();
        ciborium::into_writer(&frame, &mut buf).unwrap();
        let index = position.index(buf.len());
        buf[index] = byte;
        let _ = ciborium::from_reader::<Frame, _>(&*buf);
    }
}
