//! Tests of splitting streams into complete events, and of the bounds on those that wait.

use bytes::Bytes;
use futures_util::FutureExt as _;
use http_body_util::BodyExt as _;
use proptest::prelude::*;
use toucanshelf_ingress::event_sender::{CallerLeft, EventSender};
use toucanshelf_ingress::events::{EventSplitter, MAX_EVENT_BYTES, SplitError, is_well_formed};
use toucanshelf_ingress::response_buffer::{BufferError, ResponseBuffers};

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid:4\n\n";

/// Identifier and bytes of each event.
type Split = Vec<(Option<u64>, Vec<u8>)>;

/// Returns the events of a stream in `parts`, and whether an incomplete one remains.
fn split(parts: &[&[u8]]) -> (Split, bool) {
    let mut splitter = EventSplitter::new();
    let mut out = Vec::new();
    for part in parts {
        splitter.push(part).unwrap();
        while let Some(event) = splitter.next_event() {
            out.push((event.id, event.bytes.to_vec()));
        }
    }
    (out, splitter.holds_partial_event())
}

#[test]
fn ids_and_ends() {
    let (events, partial) = split(&[STREAM.as_bytes()]);
    let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [Some(1), Some(2), None, Some(4)]);
    assert!(!partial);
}

#[test]
fn half_event_is_held() {
    let cut = STREAM.find("b\r").unwrap();
    let (events, partial) = split(&[&STREAM.as_bytes()[..cut]]);
    assert_eq!(events.len(), 1);
    assert!(partial);
}

#[test]
fn endless_event() {
    let mut splitter = EventSplitter::new();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES]).unwrap();
    assert!(splitter.push(b"x").is_err());
}

/// Returns a splitter that has read all but the end of an event of this size.
fn splitter_within_event(buffers: &ResponseBuffers, len: usize) -> EventSplitter {
    let mut splitter = EventSplitter::new().with_buffers(buffers.clone());
    splitter.queue(vec![b'x'; len].into());
    splitter
}

/// Guards against streams whose large events take more memory than all responses may.
#[test]
fn large_events_are_bounded_together() {
    let buffers = ResponseBuffers::default();
    let mut splitters = Vec::new();
    let refused = loop {
        let mut splitter = splitter_within_event(&buffers, 100_000);
        match splitter.next_queued() {
            Ok(_) => splitters.push(splitter),
            Err(e) => break e,
        }
    };
    assert_eq!(refused, SplitError::NoMemory(BufferError::NoMemory));
    assert_eq!(splitters.len() * MAX_EVENT_BYTES, 16 << 20);
    let mut splitter = splitters.pop().unwrap();
    splitter.queue(Bytes::from_static(b"\n\n"));
    let event = splitter.next_queued().unwrap().unwrap();
    assert_eq!(event.bytes.len(), 100_002);
    let mut next = splitter_within_event(&buffers, 100_000);
    assert!(next.next_queued().is_err(), "the event is still held");
    drop(event);
    let mut next = splitter_within_event(&buffers, 100_000);
    assert!(next.next_queued().is_ok(), "a dropped event makes room");
}

/// Guards against refusing ordinary events for lack of memory.
#[test]
fn small_events_need_no_buffer() {
    let buffers = ResponseBuffers::default();
    let stream = format!("id: 1\ndata: {}\n\n", "x".repeat(8_000)).repeat(32);
    let mut splitter = EventSplitter::new().with_buffers(buffers.clone());
    splitter.queue(stream.into());
    for _ in 0..32 {
        assert!(splitter.next_queued().unwrap().is_some());
        assert_eq!(buffers.unsent_bytes(), 0);
    }
    assert!(!splitter.holds_partial_event());
}

/// Guards against reading more of a stream than its caller takes.
#[tokio::test]
async fn send_waits_for_the_caller() {
    let (tx, mut body) = EventSender::new();
    let event = Bytes::from(vec![b'x'; 3_000]);
    for _ in 0..2 {
        let sent = tx.send(event.clone()).now_or_never();
        assert_eq!(sent, Some(Ok(())), "few bytes may wait");
    }
    let mut third = std::pin::pin!(tx.send(event));
    assert_eq!(third.as_mut().now_or_never(), None);
    let taken = body.frame().await.unwrap().unwrap();
    assert_eq!(third.as_mut().now_or_never(), None, "the bytes are held");
    drop(taken);
    assert_eq!(third.await, Ok(()));
}

/// Guards against streams that wait for ever for a caller that has left.
#[tokio::test]
async fn send_to_a_caller_that_leaves() {
    let (tx, body) = EventSender::new();
    let event = Bytes::from(vec![b'x'; 10_000]);
    let (sent, ()) = tokio::join!(tx.send(event), async { drop(body) });
    assert_eq!(sent, Err(CallerLeft));
}

proptest! {
    /// Checks that the events don't depend on how the bytes are divided.
    ///
    /// No byte may be lost or added.
    #[test]
    fn any_cut(cuts in prop::collection::vec(0..STREAM.len(), 0..12)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut parts = Vec::new();
        let mut from = 0;
        for cut in cuts.into_iter().chain([STREAM.len()]) {
            parts.push(&STREAM.as_bytes()[from..cut]);
            from = cut;
        }
        let (events, _) = split(&parts);
        let (whole, _) = split(&[STREAM.as_bytes()]);
        prop_assert_eq!(&events, &whole);
        let bytes: Vec<u8> = events.into_iter().flat_map(|(_, bytes)| bytes).collect();
        prop_assert_eq!(bytes, STREAM.as_bytes());
    }
}

#[test]
fn junk_is_no_event() {
    let events = [
        "id: 1\ndata: x\n\n",
        "data\n\n",
        ": comment\r\n\r\n",
        "data: \u{e9}\t\n\n",
    ];
    for event in events {
        assert!(is_well_formed(event.as_bytes()), "{event:?}");
    }
    let junk: [&[u8]; 6] = [
        b"\n",
        b"\r\n\r\n",
        b"junk\n\n",
        b"id: 1\njunk\n\n",
        b"\x01:\n\n",
        b"data: \xff\xfe\n\n",
    ];
    for bytes in junk {
        assert!(!is_well_formed(bytes), "{bytes:?}");
    }
}
