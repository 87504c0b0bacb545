//! Tests of signed answers whose status is not that of a final response.
//!
//! A target in trouble may send such an answer. It may have run the request, and the caller must not
//! get it as the response.

use crate::ingress::{model_document, with_engines_at};
use crate::platform_support::{CallerResponse, DeploymentBuilder, Platform};
use crate::raw_target::{RawAnswer, RawTarget};

const ID: (&str, &str) = ("x-toucanshelf-request-id", "r1");

async fn plain_from(answer: RawAnswer) -> CallerResponse {
    let target = RawTarget::start(answer).await;
    let document = DeploymentBuilder::new(1).route("read", "a.example", "/read/", "plain");
    let platform = Platform::start(&document.build(), &[]).await;
    platform.register("t0", "plain", target.address).await;
    let response = platform.call("GET", "/read/", &[ID]).await;
    assert!(target.requests() > 0);
    response
}

async fn stream_from(answer: RawAnswer) -> CallerResponse {
    let engine = RawTarget::start(answer).await;
    let placed = [("z", 0, 4)];
    let platform = with_engines_at(&model_document(), &[engine.address], &placed).await;
    let response = platform.call("POST", "/draft/", &[ID]).await;
    assert!(engine.requests() > 0);
    response
}

/// Checks that plain requests and streams get an error that promises nothing.
async fn check_not_passed_on(line: &'static str) {
    let answer = RawAnswer::StatusLine(line);
    let (plain, stream) = tokio::join!(plain_from(answer), stream_from(answer));
    for response in [plain, stream] {
        assert!(
            [502, 504].contains(&response.status),
            "{line}: {response:?}"
        );
        assert_ne!(response.body, "body", "{line}");
    }
}

#[tokio::test]
async fn below_100() {
    check_not_passed_on("HTTP/1.1 000 Trouble").await;
    check_not_passed_on("HTTP/1.1 099 Trouble").await;
}

#[tokio::test]
async fn above_599() {
    check_not_passed_on("HTTP/1.1 600 Trouble").await;
    check_not_passed_on("HTTP/1.1 999 Trouble").await;
}

#[tokio::test]
async fn two_or_four_digits() {
    check_not_passed_on("HTTP/1.1 20 OK").await;
    check_not_passed_on("HTTP/1.1 2000 OK").await;
}

/// An informational answer is followed by no final one.
#[tokio::test]
async fn informational() {
    check_not_passed_on("HTTP/1.1 100 Continue").await;
    check_not_passed_on("HTTP/1.1 101 Switching Protocols").await;
    check_not_passed_on("HTTP/1.1 199 Trouble").await;
}

/// These are valid answers.
#[tokio::test]
async fn lenient_lines() {
    for answer in [
        RawAnswer::StatusLine("HTTP/1.1 200"),
        RawAnswer::StatusLine("HTTP/1.1 200 "),
        RawAnswer::BareLineFeeds,
    ] {
        let response = plain_from(answer).await;
        assert_eq!((response.status, &*response.body), (200, "body"));
    }
}
