//! Tests of the templates that turn the platform's settings into the settings of the programs.

use serde_json::{Value, json};
use toucanshelf_control::settings::ControlSettings;
use toucanshelf_ingress::settings::IngressSettings;
use toucanshelf_runtime::program::DaemonSettings as _;
use toucanshelf_runtime::settings::{SettingsError, parse};

const CONTROL_TEMPLATE: &str = include_str!("../../platform/settings/control.toml");
const INGRESS_TEMPLATE: &str = include_str!("../../platform/settings/ingress.toml");

/// Settings of the platform; `numbers` are the ratio, slack and window in seconds of retries, and the
/// heartbeat interval in milliseconds. `null` stands for an absent one.
fn platform_settings(numbers: &Value) -> Value {
    let [ratio, slack, window_s, heartbeat_ms] = [0, 1, 2, 3].map(|i| &numbers[i]);
    json!({
        "node": "instance-1",
        "ip": "10.1.0.40",
        "zone": "zone-1",
        "listen": {
            "front": "10.1.0.40:8227",
            "ready": "10.1.0.40:8220",
            "control": "10.1.0.40:8229",
        },
        "internal_ports": [7340, 7355],
        "seeds": ["10.1.0.42:8229", "10.2.0.32:8229"],
        "bootstrap": true,
        "data_dir": "/data",
        "heartbeat_ms": heartbeat_ms,
        "limits": {"max_fds": 4_096},
        "tolerate": {"machines": 2},
        "bounds": {"retry_ratio": ratio, "retry_slack": slack, "retry_window_s": window_s},
    })
}

/// Looks up `a`, `a.b` or `a.0`.
fn lookup<'a>(fields: &'a Value, path: &str) -> Option<&'a Value> {
    let found = path.split('.').try_fold(fields, |value, key| {
        let index = key.parse().ok();
        value
            .get(key)
            .or_else(|| index.and_then(|index: usize| value.get(index)))
    });
    found.filter(|value| !value.is_null())
}

/// Fills in a template as the platform does: placeholders, `|json` and sections of one value.
fn render(template: &str, fields: &Value) -> String {
    let Some((before, rest)) = template.split_once("{{") else {
        return template.into();
    };
    let (name, rest) = rest.split_once("}}").expect("a placeholder ends");
    let (text, rest) = if let Some(section) = name.strip_prefix('#') {
        let end = format!("{{{{/{section}}}}}");
        let (inner, rest) = rest.split_once(&end).expect("a section ends");
        let shown = lookup(fields, section).is_some_and(|value| *value != Value::Bool(false));
        (
            if shown {
                render(inner, fields)
            } else {
                String::new()
            },
            rest,
        )
    } else if let Some(path) = name.strip_suffix("|json") {
        let value = lookup(fields, path).unwrap_or(&Value::Null);
        (value.to_string(), rest)
    } else {
        let text = match lookup(fields, name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        };
        (text, rest)
    };
    format!("{before}{text}{}", render(rest, fields))
}

fn ingress(fields: &Value) -> Result<IngressSettings, SettingsError> {
    parse("ingress.toml", &render(INGRESS_TEMPLATE, fields))
}

fn control(fields: &Value) -> Result<ControlSettings, SettingsError> {
    parse("control.toml", &render(CONTROL_TEMPLATE, fields))
}

#[test]
fn templates_with_whole_numbers() {
    let fields = platform_settings(&json!([1, 774, 10, 1_200]));
    let cfg = ingress(&fields).expect("the ingress starts");
    assert_eq!(cfg.check(), Ok(()));
    assert_eq!((cfg.repeat_ratio, cfg.repeat_slack), (1.0, 774.0));
    assert_eq!(
        (cfg.repeat_window_ms, cfg.repeat_slack_after_ms),
        (10_000, 10_000)
    );
    assert_eq!(cfg.seeds.len(), 2);
    assert_eq!((cfg.load_exchange_ms, cfg.reserved_share), (None, None));
    let cfg = control(&fields).expect("the control instance starts");
    assert_eq!(cfg.check(), Ok(()));
    let deployment = cfg.deployment.expect("the template has a deployment");
    assert_eq!(
        (deployment.heartbeat_ms, deployment.tolerated_losses),
        (1_200, 2)
    );
    assert_eq!(deployment.max_connections(), 3_072);
}

/// Guards against a control instance that closes connections, or doesn't start, without a limit.
#[test]
fn templates_without_open_files() {
    let mut fields = platform_settings(&json!([1, 774, 10, 1_200]));
    fields["limits"] = Value::Null;
    let cfg = control(&fields).expect("the control instance starts");
    let deployment = cfg.deployment.expect("the template has a deployment");
    assert_eq!(deployment.max_connections(), usize::MAX);
    fields["limits"] = json!({"max_fds": 1_000.5});
    let cfg = control(&fields).expect("the control instance starts");
    let deployment = cfg.deployment.expect("the template has a deployment");
    assert_eq!(deployment.max_connections(), 750);
}

/// Guards against placeholders with text behind them that makes a fraction invalid.
#[test]
fn templates_with_fractions() {
    let fields = platform_settings(&json!([0.25, 40.7, 7.5, 1_250.5]));
    let cfg = ingress(&fields).expect("the ingress starts");
    assert_eq!((cfg.repeat_ratio, cfg.repeat_slack), (0.25, 40.7));
    assert_eq!(
        (cfg.repeat_window_ms, cfg.repeat_slack_after_ms),
        (7_500, 7_500)
    );
    let cfg = control(&fields).expect("the control instance starts");
    let deployment = cfg.deployment.expect("the template has a deployment");
    assert_eq!(deployment.heartbeat_ms, 1_251);
}

#[test]
fn templates_with_absent_numbers() {
    let fields = platform_settings(&json!([null, null, null, null]));
    let cfg = ingress(&fields).expect("the ingress starts");
    assert_eq!(cfg.check(), Ok(()));
    assert_eq!((cfg.repeat_ratio, cfg.repeat_slack), (0.1, 20.0));
    assert_eq!(
        (cfg.repeat_window_ms, cfg.repeat_slack_after_ms),
        (10_000, 0)
    );
    let cfg = control(&fields).expect("the control instance starts");
    let deployment = cfg.deployment.expect("the template has a deployment");
    assert_eq!(deployment.heartbeat_ms, 1_200);
}

#[test]
fn templates_with_negative_time() {
    let fields = platform_settings(&json!([0.2, 1, -1, 1_200]));
    let e = ingress(&fields).expect_err("a negative time is refused");
    assert!(
        e.to_string().contains("is no number of milliseconds"),
        "{e}"
    );
}

/// Guards against names that end the string around them.
#[test]
fn templates_with_quotes_in_names() {
    let mut fields = platform_settings(&json!([0.2, 1, 10, 1_200]));
    fields["node"] = json!("instance \"1\" \\");
    let cfg = ingress(&fields).expect("the ingress starts");
    assert_eq!(&*cfg.name, "instance \"1\" \\");
}

/// Guards against an ingress that needs more ports than one that the platform's older settings fill in.
#[test]
fn ingress_template_with_one_internal_port() {
    let mut fields = platform_settings(&json!([0.2, 1, 10, 1_200]));
    fields["internal_ports"] = json!([7340]);
    let cfg = ingress(&fields).expect("the ingress starts");
    assert_eq!(cfg.check(), Ok(()));
    assert_eq!(cfg.link_port, 7340);
}

/// Guards against a control instance that doesn't know when the next loss may come.
#[test]
fn control_template_with_catch_up_time() {
    let mut fields = platform_settings(&json!([0.2, 1, 10, 1_200]));
    for (seconds, expected) in [
        (json!(4), Some(4_000)),
        (json!(1.5), Some(1_500)),
        (json!(null), None),
    ] {
        fields["bounds"]["catch_up_s"] = seconds;
        let cfg = control(&fields).expect("the control instance starts");
        let deployment = cfg.deployment.expect("the template has a deployment");
        assert_eq!(deployment.catch_up_ms, expected);
    }
}
