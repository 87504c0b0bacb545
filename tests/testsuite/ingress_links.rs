//! Tests of what a control instance sends to many linked ingresses.

use std::collections::BTreeMap;

use toucanshelf_control::Control;
use toucanshelf_core::crash::{Content, Finding, Outcome};
use toucanshelf_core::ids::{CrashId, PromptPart};

use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::{Link, connect};

use crate::platform_support::{LINK_KEY, start_control};

/// Opens the link of an ingress and reads the list of members, which comes first.
async fn open_link(control: &Control, name: &str, zone: &str) -> Link {
    let key = SharedKey::new(LINK_KEY).unwrap();
    let hello = Hello::for_ingress(name, zone);
    let mut link = connect(control.link_address(), &hello, &key).await.unwrap();
    let accepts = next(&mut link, |frame| match frame {
        Frame::Members {
            accepts_subscriptions,
            ..
        } => Some(accepts_subscriptions),
        _ => None,
    });
    assert!(accepts.await, "the instance accepts subscriptions");
    link
}

/// Returns the first value that `select` takes from a frame.
async fn next<T>(link: &mut Link, select: impl Fn(Frame) -> Option<T>) -> T {
    loop {
        let frame = link.rx.recv().await.expect("the link stays open");
        if let Some(found) = select(frame) {
            return found;
        }
    }
}

/// Returns the frames that arrive before the answer to a question that is sent now.
async fn frames_until_answer(link: &mut Link) -> Vec<Frame> {
    link.tx.send(Frame::AskRelays).await.unwrap();
    let mut frames = Vec::new();
    loop {
        match link.rx.recv().await.expect("the link stays open") {
            Frame::Relays { .. } => return frames,
            frame => frames.push(frame),
        }
    }
}

/// Guards against lists of all ingresses that go to each ingress every second.
#[tokio::test]
async fn members_as_counts() {
    let (control, _folder) = start_control().await;
    let mut link = open_link(&control, "i1", "z").await;
    link.tx.send(Frame::WatchCounts).await.unwrap();
    let counts = |frame| match frame {
        Frame::MemberCounts { ingresses, .. } => Some(ingresses),
        _ => None,
    };
    let expected = |counts: &[(&str, u32)]| -> BTreeMap<Box<str>, u32> {
        let counts = counts.iter();
        counts
            .map(|(zone, count)| ((*zone).into(), *count))
            .collect()
    };
    while next(&mut link, counts).await != expected(&[("z", 1)]) {}
    let _other = open_link(&control, "i2", "y").await;
    while next(&mut link, counts).await != expected(&[("y", 1), ("z", 1)]) {}
    let frames = frames_until_answer(&mut link).await;
    let lists = |frame: &&Frame| matches!(frame, Frame::Members { .. });
    assert_eq!(frames.iter().find(lists).map(|_| "a list of members"), None);
}

/// Guards against findings that come from each control instance, while one is enough.
#[tokio::test]
async fn findings_where_wanted() {
    let (control, _folder) = start_control().await;
    let mut wanting = open_link(&control, "i1", "z").await;
    let mut other = open_link(&control, "i2", "z").await;
    let wish = |wanted| Frame::WantFindings { wanted };
    wanting.tx.send(wish(true)).await.unwrap();
    other.tx.send(wish(false)).await.unwrap();
    frames_until_answer(&mut wanting).await;
    frames_until_answer(&mut other).await;
    let crash = CrashId(7);
    let finding = Finding {
        service: "model".into(),
        content: Content::Part(PromptPart(1)),
        position: 0,
        outcome: Outcome::Crashed {
            crash,
            in_trial: false,
        },
    };
    let findings = vec![finding.clone()];
    other
        .tx
        .send(Frame::CrashFindings { findings })
        .await
        .unwrap();
    let received = next(&mut wanting, |frame| match frame {
        Frame::CrashFindings { findings } if !findings.is_empty() => Some(findings),
        _ => None,
    });
    assert_eq!(received.await, [finding]);
    let unwanted = |frame: &&Frame| matches!(frame, Frame::CrashFindings { .. });
    let frames = frames_until_answer(&mut other).await;
    assert_eq!(frames.iter().filter(unwanted).count(), 0);
}
