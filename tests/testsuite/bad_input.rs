//! Tests of the gate's responses to requests that it must refuse.
//!
//! Every response must have the common error body, a stable error code and the outcome `not_run`.

use std::sync::OnceLock;

use http::{Method, Request};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use toucanshelf_core::outcome::Code;
use toucanshelf_gate::settings::PlannerKind;
use toucanshelf_replay::deployment::Deployment;
use toucanshelf_replay::layout::caller_token;
use toucanshelf_replay::trace::Trace;

const TRACE: &str = r#"
name = "bad input"
[model]
layers = 8
[[engine]]
zone = "a"
layers = [0, 4]
[[service]]
zone = "a"
[[load]]
organisation = "skippers"
kind = "chat"
count = 0
[expect]
"#;

/// Returns the address of the gate in a deployment that all tests share.
///
/// The only engine of the deployment holds half of the layers.
fn gate_address() -> String {
    static DEPLOYMENT: OnceLock<(Deployment, String)> = OnceLock::new();
    let shared = DEPLOYMENT.get_or_init(|| {
        let trace = Trace::parse("bad_input", TRACE).unwrap();
        let deployment = Deployment::start(&trace, PlannerKind::Flow);
        let address = deployment.gate_addresses()[0].to_string();
        (deployment, address)
    });
    shared.1.clone()
}

/// A POST request that the gate must refuse.
struct TestRequest<'a> {
    path: &'a str,
    token: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: String,
}

/// Sends a request, checks that it is refused with `code` and returns the response body.
fn check_refusal(test_request: &TestRequest<'_>, code: Code) -> serde_json::Value {
    let address = gate_address();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{}", test_request.path))
        .header("authorization", format!("Bearer {}", test_request.token));
    for (name, value) in test_request.headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(test_request.body.clone().into_bytes().into()))
        .unwrap();
    let (status, outcome, body) = runtime.block_on(async {
        let response = client.request(request).await.unwrap();
        let status = response.status().as_u16();
        let outcome = response.headers().get("x-toucanshelf-outcome").cloned();
        (
            status,
            outcome,
            response.into_body().collect().await.unwrap().to_bytes(),
        )
    });
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(value["error"]["code"], code.as_str(), "{value}");
    assert_eq!(status, code.http_status(), "{value}");
    assert_eq!(value["error"]["outcome"], "not_run", "{value}");
    assert!(outcome.is_none_or(|outcome| outcome == "not_run"));
    assert!(!value["error"]["message"].as_str().unwrap().is_empty());
    value
}

/// Sends a chat request with a valid token and checks that it is refused with `code`.
fn check_chat(body: &str, headers: &[(&str, &str)], code: Code) -> serde_json::Value {
    let token = caller_token("skippers");
    let path = "/v1/chat/completions";
    check_refusal(
        &TestRequest {
            path,
            token: &token,
            headers,
            body: body.to_owned(),
        },
        code,
    )
}

/// Valid chat request, from which the tests derive invalid ones.
const VALID_CHAT: &str = r#"{"model": "model", "messages": [{"role": "user", "content": "x"}]}"#;

#[test]
fn chat_wrong_token() {
    let test_request = TestRequest {
        path: "/v1/chat/completions",
        token: "nobody",
        headers: &[],
        body: VALID_CHAT.to_owned(),
    };
    check_refusal(&test_request, Code::Unauthorized);
}

#[test]
fn chat_malformed_json() {
    let value = check_chat("{\"model\": ", &[], Code::BadRequest);
    assert!(
        value["error"]["message"]
            .as_str()
            .unwrap()
            .contains("line 1"),
        "{value}"
    );
}

#[test]
fn chat_unknown_model() {
    check_chat(
        &VALID_CHAT.replace("\"model\": \"model\"", "\"model\": \"none\""),
        &[],
        Code::UnknownName,
    );
}

#[test]
fn chat_missing_layers() {
    let value = check_chat(VALID_CHAT, &[], Code::NoRoute);
    assert!(
        value["error"]["message"]
            .as_str()
            .unwrap()
            .contains("[4, 8)"),
        "{value}"
    );
}

#[test]
fn chat_past_deadline() {
    check_chat(VALID_CHAT, &[("x-deadline-ms", "0")], Code::DeadlinePassed);
    check_chat(VALID_CHAT, &[("x-deadline-ms", "soon")], Code::BadRequest);
}

#[test]
fn chat_too_many_tokens() {
    let body = VALID_CHAT.replace("{\"model\"", "{\"max_tokens\": 9999999, \"model\"");
    check_chat(&body, &[], Code::BadRequest);
}

#[test]
fn chat_large_body() {
    let body = VALID_CHAT.replace("\"x\"", &format!("\"{}\"", "x".repeat(2 << 20)));
    check_chat(&body, &[], Code::TooLarge);
}

/// Sends a non-idempotent call to the plain service and checks that it is refused with `code`.
fn check_booking(headers: &[(&str, &str)], code: Code) {
    let token = caller_token("skippers");
    let path = "/svc/dispatch-app/assignments";
    check_refusal(
        &TestRequest {
            path,
            token: &token,
            headers,
            body: "{}".to_owned(),
        },
        code,
    );
}

#[test]
fn booking_without_key() {
    check_booking(&[], Code::KeyMissing);
    check_booking(&[("idempotency-key", &"k".repeat(500))], Code::BadRequest);
}

/// Sends an announcement with a target's token and checks that it is refused with `code`.
fn check_announcement(body: &str, code: Code) {
    let headers = &[];
    let path = "/v1/targets/announce";
    check_refusal(
        &TestRequest {
            path,
            token: "replay-target",
            headers,
            body: body.to_owned(),
        },
        code,
    );
}

/// Valid announcement of an engine, from which the tests derive invalid ones.
const VALID_ANNOUNCEMENT: &str = r#"{"name": "e", "incarnation": 1, "zone": "a", "address": "127.0.0.1:1",
    "slots": 4, "role": {"kind": "engine", "model": "model", "version": "v1", "layers": [0, 4],
    "accelerator": "x", "tokens-per-s": 10.0}}"#;

#[test]
fn announce_impossible_layers() {
    check_announcement(
        &VALID_ANNOUNCEMENT.replace("[0, 4]", "[4, 4]"),
        Code::BadRequest,
    );
    check_announcement(
        &VALID_ANNOUNCEMENT.replace("[0, 4]", "[4, 9]"),
        Code::BadRequest,
    );
    check_announcement(
        &VALID_ANNOUNCEMENT.replace("[0, 4]", "[0, 99999999]"),
        Code::BadRequest,
    );
    check_announcement(&VALID_ANNOUNCEMENT.replace("10.0", "0.0"), Code::BadRequest);
    check_announcement(
        &VALID_ANNOUNCEMENT.replace("\"slots\": 4", "\"slots\": 0"),
        Code::BadRequest,
    );
}

#[test]
fn announce_with_callers_token() {
    let token = caller_token("skippers");
    let path = "/v1/targets/announce";
    let test_request = TestRequest {
        path,
        token: &token,
        headers: &[],
        body: VALID_ANNOUNCEMENT.to_owned(),
    };
    check_refusal(&test_request, Code::Unauthorized);
}
