//! Tests that the documentation and the example settings agree with the code.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use toucanshelf_control::settings::ControlSettings;
use toucanshelf_core::outcome::Code;
use toucanshelf_gate::settings::GateSettings;
use toucanshelf_runtime::program::DaemonSettings as _;
use toucanshelf_runtime::settings::load;

/// Returns the root of the repository.
fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).to_owned()
}

/// Reads the file at `path`, which is relative to the root of the repository.
fn read_file(path: &str) -> String {
    std::fs::read_to_string(repository_root().join(path)).unwrap_or_else(|e| panic!("{path}: {e}"))
}

/// Appends the text of all Rust files in `folder` and its subfolders to `out`.
fn append_sources(folder: &Path, out: &mut String) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            append_sources(&path, out);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            out.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

/// Returns all event numbers in `text`, each `TS` and four digits.
fn event_numbers(text: &str) -> BTreeSet<&str> {
    let suffixes = text.match_indices("TS").map(|(i, _)| &text[i..]);
    let numbers = suffixes.filter_map(|rest| rest.get(..6));
    numbers
        .filter(|number| number[2..].bytes().all(|b| b.is_ascii_digit()))
        .collect()
}

#[test]
fn events_catalogue() {
    let mut code = String::new();
    for entry in std::fs::read_dir(repository_root().join("crates")).unwrap() {
        append_sources(&entry.unwrap().path().join("src"), &mut code);
    }
    let page = read_file("docs/EVENTS.md");
    assert_eq!(event_numbers(&code), event_numbers(&page));
}

#[test]
fn codes_catalogue() {
    let page = read_file("docs/PROTOCOLS.md");
    for code in Code::ALL {
        let row = format!("| `{}` | {} |", code.as_str(), code.http_status());
        assert!(page.contains(&row), "docs/PROTOCOLS.md lacks {row}");
    }
}

#[test]
fn openapi_documents() {
    let version = semver::Version::new(1, 0, 0);
    let gate = toucanshelf_gate::api::description();
    let gate = gate
        .openapi("toucanshelf-gate", version.clone())
        .json()
        .unwrap();
    let control = toucanshelf_control::api::description();
    let control = control
        .openapi("toucanshelf-control", version)
        .json()
        .unwrap();
    for (name, value) in [("gate", gate), ("control", control)] {
        let path = repository_root().join(format!("docs/api/{name}.json"));
        let text = format!("{}\n", serde_json::to_string_pretty(&value).unwrap());
        if std::env::var_os("UPDATE_OPENAPI").is_some() {
            std::fs::write(&path, &text).unwrap();
        }
        assert_eq!(
            std::fs::read_to_string(&path).unwrap_or_default(),
            text,
            "{}",
            path.display()
        );
    }
}

#[test]
fn example_settings() {
    for deployment in ["leinenhof", "cooperative"] {
        let folder = repository_root().join("examples").join(deployment);
        for n in 1..=3 {
            let settings: ControlSettings =
                load(&folder.join(format!("control-{n}.toml"))).unwrap();
            settings.check().unwrap();
        }
        for n in 1..=6 {
            let settings: GateSettings = load(&folder.join(format!("gate-{n}.toml"))).unwrap();
            settings.check().unwrap();
        }
    }
}

/// Returns the TOML keys of the settings struct `name` in the source file `path`.
///
/// The field `links` holds the tables that are named `link` in TOML.
fn settings_keys(path: &str, name: &str) -> Vec<String> {
    let code = read_file(path);
    let start = code.find(&format!("pub struct {name} {{")).unwrap();
    let body = &code[start..start + code[start..].find("\n}").unwrap()];
    // A field that serde skips is no key.
    let lines = body.lines().map(str::trim);
    let lines: Vec<_> = lines.collect();
    let fields = lines.windows(2).filter_map(|pair| {
        let is_key = pair[0] != "#[serde(skip)]";
        pair[1].strip_prefix("pub ").filter(|_| is_key)
    });
    let names = fields
        .filter_map(|field| field.split_once(':'))
        .map(|(name, _)| name);
    names
        .map(|name| name.replace('_', "-").replace("links", "link"))
        .collect()
}

#[test]
fn settings_page() {
    let page = read_file("docs/CONFIG.md");
    for (path, name) in [
        ("crates/toucanshelf-gate/src/settings.rs", "GateSettings"),
        ("crates/toucanshelf-gate/src/settings.rs", "LinkSettings"),
        (
            "crates/toucanshelf-control/src/settings.rs",
            "ControlSettings",
        ),
        (
            "crates/toucanshelf-control/src/settings.rs",
            "DeploymentSettings",
        ),
        (
            "crates/toucanshelf-ingress/src/settings.rs",
            "IngressSettings",
        ),
        ("crates/toucanshelf-runtime/src/settings.rs", "LogSettings"),
        (
            "crates/toucanshelf-standin/src/settings.rs",
            "EngineSettings",
        ),
        (
            "crates/toucanshelf-standin/src/service.rs",
            "ServiceSettings",
        ),
    ] {
        for key in settings_keys(path, name)
            .into_iter()
            .filter(|key| !key.starts_with("struct"))
        {
            assert!(
                page.contains(&format!("`{key}`")),
                "docs/CONFIG.md lacks `{key}` of {name}"
            );
        }
    }
}
