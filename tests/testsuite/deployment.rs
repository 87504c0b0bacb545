//! Deployments that must be refused, whatever their version.

use toucanshelf_core::deployment::DeploymentError;
use toucanshelf_link::dialect::Dialect as _;
use toucanshelf_platform::PlatformDialect;

use crate::platform_support::DeploymentBuilder;

fn problem(document: &str) -> DeploymentError {
    let decoded = PlatformDialect.deployment(document.as_bytes());
    decoded
        .and_then(|deployment| deployment.check())
        .unwrap_err()
}

fn valid() -> DeploymentBuilder {
    DeploymentBuilder::new(3).route("r", "a.example", "/x/", "plain")
}

#[test]
fn cut_short() {
    let document = valid().build();
    for end in [1, document.len() / 2, document.len() - 1] {
        let problem = problem(&document[..end]);
        assert!(
            matches!(problem, DeploymentError::Unreadable(_)),
            "{problem}"
        );
    }
}

#[test]
fn unknown_service() {
    let document = valid().route("s", "a.example", "/z/", "nowhere").build();
    assert!(matches!(
        problem(&document),
        DeploymentError::UnknownService { .. }
    ));
}

#[test]
fn same_place() {
    let document = valid().route("s", "a.example", "/x/", "plain").build();
    assert!(matches!(
        problem(&document),
        DeploymentError::DuplicateRoute { .. }
    ));
}

#[test]
fn no_weight() {
    let document = valid()
        .split_route("s", "a.example", "/z/", &[("plain", 0)])
        .build();
    assert_eq!(problem(&document), DeploymentError::ZeroWeight("s".into()));
}

#[test]
fn no_timeout() {
    let document = valid()
        .build()
        .replace("\"timeout_ms\":2000", "\"timeout_ms\":0");
    assert_eq!(problem(&document), DeploymentError::ZeroTimeout("r".into()));
}

#[test]
fn shared_key() {
    let document = valid()
        .organisation("a", &["k"])
        .organisation("b", &["k"])
        .build();
    assert_eq!(
        problem(&document),
        DeploymentError::DuplicateKey("b".into())
    );
}

#[test]
fn own_key_twice() {
    let document = valid().organisation("a", &["k", "k"]).build();
    let deployment = PlatformDialect.deployment(document.as_bytes()).unwrap();
    assert_eq!(deployment.check(), Ok(()));
}
