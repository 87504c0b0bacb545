//! Tests of the validation that rejects invalid deployments of any version.

use toucanshelf_core::deployment::DeploymentError;
use toucanshelf_link::dialect::Dialect as _;
use toucanshelf_platform::PlatformDialect;

use crate::platform_support::DeploymentBuilder;

fn validation_error(document: &str) -> DeploymentError {
    let decoded = PlatformDialect.deployment(document.as_bytes());
    decoded
        .and_then(|deployment| deployment.check())
        .unwrap_err()
}

fn valid_deployment() -> DeploymentBuilder {
    DeploymentBuilder::new(3).route("r", "a.example", "/x/", "plain")
}

#[test]
fn cut_short() {
    let document = valid_deployment().build();
    for end in [1, document.len() / 2, document.len() - 1] {
        let error = validation_error(&document[..end]);
        assert!(matches!(error, DeploymentError::Unreadable(_)), "{error}");
    }
}

#[test]
fn unknown_service() {
    let document = valid_deployment()
        .route("s", "a.example", "/z/", "nowhere")
        .build();
    assert!(matches!(
        validation_error(&document),
        DeploymentError::UnknownService { .. }
    ));
}

#[test]
fn same_place() {
    let document = valid_deployment()
        .route("s", "a.example", "/x/", "plain")
        .build();
    assert!(matches!(
        validation_error(&document),
        DeploymentError::DuplicateRoute { .. }
    ));
}

/// Guards against two routes of which one gets no request, since hosts are matched in any case.
#[test]
fn same_place_in_other_case() {
    let document = valid_deployment()
        .route("s", "A.Example", "/x/", "plain")
        .build();
    assert!(matches!(
        validation_error(&document),
        DeploymentError::DuplicateRoute { .. }
    ));
}

#[test]
fn no_weight() {
    let document = valid_deployment()
        .split_route("s", "a.example", "/z/", &[("plain", 0)])
        .build();
    assert_eq!(
        validation_error(&document),
        DeploymentError::ZeroWeight("s".into())
    );
}

#[test]
fn no_timeout() {
    let document = valid_deployment()
        .build()
        .replace("\"timeout_ms\":2000", "\"timeout_ms\":0");
    assert_eq!(
        validation_error(&document),
        DeploymentError::ZeroTimeout("r".into())
    );
}

#[test]
fn shared_key() {
    let document = valid_deployment()
        .organisation("a", &["k"])
        .organisation("b", &["k"])
        .build();
    assert_eq!(
        validation_error(&document),
        DeploymentError::DuplicateKey("b".into())
    );
}

#[test]
fn own_key_twice() {
    let document = valid_deployment().organisation("a", &["k", "k"]).build();
    let deployment = PlatformDialect.deployment(document.as_bytes()).unwrap();
    assert_eq!(deployment.check(), Ok(()));
}
