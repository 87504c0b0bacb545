//! Crowds at the link listener of a control instance, whose callers don't know the link key.

use crate::control::ControlSystem;
use crate::crowd::Crowd;
use crate::{CONNECTIONS, PIECE_BYTES, run_alone};

/// Request that opens a WebSocket.
pub const UPGRADE: &[u8] = b"GET /link/v1 HTTP/1.1\r\nhost: a.example\r\nconnection: upgrade\r\n\
    upgrade: websocket\r\nsec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
/// Size of a message of an unknown caller, in bytes.
const MESSAGE_BYTES: usize = 64 << 20;
/// Callers that send such messages.
const SENDERS: usize = 10;

async fn hold_links(sent: &[u8]) {
    let system = ControlSystem::start().await;
    let mut crowd = Crowd::connect(system.links, CONNECTIONS).await;
    crowd.send(sent).await;
    system.check(crowd).await;
}

#[test]
fn silent() {
    run_alone(hold_links(b""));
}

#[test]
fn upgrades_without_end() {
    run_alone(hold_links(&UPGRADE[..UPGRADE.len() - 2]));
}

#[test]
fn handshakes_not_begun() {
    run_alone(hold_links(UPGRADE));
}

/// A message before the handshake is limited long before its end.
#[test]
fn large_messages_before_the_handshake() {
    run_alone(async {
        let system = ControlSystem::start().await;
        let mut crowd = Crowd::connect(system.links, SENDERS).await;
        crowd.send(UPGRADE).await;
        crowd.wait_for_answers().await;
        // A final binary frame with a length of eight bytes and an empty mask.
        let mut header = vec![0x82, 0xff];
        header.extend_from_slice(&(MESSAGE_BYTES as u64).to_be_bytes());
        header.extend_from_slice(&[0; 4]);
        crowd.send(&header).await;
        crowd.send_in_pieces(MESSAGE_BYTES - 1, PIECE_BYTES).await;
        system.check(crowd).await;
    });
}
