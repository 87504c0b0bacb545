//! Tests of splitting streams into complete events.

use proptest::prelude::*;
use toucanshelf_ingress::events::{EventSplitter, MAX_EVENT_BYTES, is_well_formed};

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
