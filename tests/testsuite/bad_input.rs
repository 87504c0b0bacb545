//! Bad input: one shape, a stable code, nothing run.

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

/// One deployment for all cases; its only engine holds half of the layers.
fn gate() -> String {
    static DEPLOYMENT: OnceLock<(Deployment, String)> = OnceLock::new();
    let started = DEPLOYMENT.get_or_init(|| {
        let trace = Trace::parse("bad_input", TRACE).unwrap();
        let deployment = Deployment::start(&trace, PlannerKind::Flow);
        let address = deployment.gate_addresses()[0].to_string();
        (deployment, address)
    });
    started.1.clone()
}

struct Case<'a> {
    path: &'a str,
    token: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: String,
}

fn check(case: &Case<'_>, code: Code) -> serde_json::Value {
    let address = gate();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{}", case.path))
        .header("authorization", format!("Bearer {}", case.token));
    for (name, value) in case.headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(case.body.clone().into_bytes().into()))
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

fn chat(body: &str, headers: &[(&str, &str)], code: Code) -> serde_json::Value {
    let token = caller_token("skippers");
    let path = "/v1/chat/completions";
    check(
        &Case {
            path,
            token: &token,
            headers,
            body: body.to_owned(),
        },
        code,
    )
}

const GOOD: &str = r#"{"model": "model", "messages": [{"role": "user", "content": "x"}]}"#;

#[test]
fn chat_wrong_token() {
    let case = Case {
        path: "/v1/chat/completions",
        token: "nobody",
        headers: &[],
        body: GOOD.to_owned(),
    };
    check(&case, Code::Unauthorized);
}

#[test]
fn chat_malformed_json() {
    let value = chat("{\"model\": ", &[], Code::BadRequest);
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
    chat(
        &GOOD.replace("\"model\": \"model\"", "\"model\": \"none\""),
        &[],
        Code::UnknownName,
    );
}

#[test]
fn chat_missing_layers() {
    let value = chat(GOOD, &[], Code::NoRoute);
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
    chat(GOOD, &[("x-deadline-ms", "0")], Code::DeadlinePassed);
    chat(GOOD, &[("x-deadline-ms", "soon")], Code::BadRequest);
}

#[test]
fn chat_too_many_tokens() {
    let body = GOOD.replace("{\"model\"", "{\"max_tokens\": 9999999, \"model\"");
    chat(&body, &[], Code::BadRequest);
}

#[test]
fn chat_large_body() {
    let body = GOOD.replace("\"x\"", &format!("\"{}\"", "x".repeat(2 << 20)));
    chat(&body, &[], Code::TooLarge);
}

fn book(headers: &[(&str, &str)], code: Code) {
    let token = caller_token("skippers");
    let path = "/svc/dispatch-app/assignments";
    check(
        &Case {
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
    book(&[], Code::KeyMissing);
    book(&[("idempotency-key", &"k".repeat(500))], Code::BadRequest);
}

fn announce(body: &str, code: Code) {
    let headers = &[];
    let path = "/v1/targets/announce";
    check(
        &Case {
            path,
            token: "replay-target",
            headers,
            body: body.to_owned(),
        },
        code,
    );
}

const ENGINE: &str = r#"{"name": "e", "incarnation": 1, "zone": "a", "address": "127.0.0.1:1",
    "slots": 4, "role": {"kind": "engine", "model": "model", "version": "v1", "layers": [0, 4],
    "accelerator": "x", "tokens-per-s": 10.0}}"#;

#[test]
fn announce_impossible_layers() {
    announce(&ENGINE.replace("[0, 4]", "[4, 4]"), Code::BadRequest);
    announce(&ENGINE.replace("[0, 4]", "[4, 9]"), Code::BadRequest);
    announce(&ENGINE.replace("[0, 4]", "[0, 99999999]"), Code::BadRequest);
    announce(&ENGINE.replace("10.0", "0.0"), Code::BadRequest);
    announce(
        &ENGINE.replace("\"slots\": 4", "\"slots\": 0"),
        Code::BadRequest,
    );
}

#[test]
fn announce_with_callers_token() {
    let token = caller_token("skippers");
    let path = "/v1/targets/announce";
    let case = Case {
        path,
        token: &token,
        headers: &[],
        body: ENGINE.to_owned(),
    };
    check(&case, Code::Unauthorized);
}
