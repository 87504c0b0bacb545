//! Tests of deployment patches: their size, and what they refuse to apply to.

use std::fmt::Write as _;

use toucanshelf_core::deployment_patch::{DeploymentPatch, PatchError};
use toucanshelf_core::state::DeploymentDocument;

/// Returns a document with `routes` entries, of which entry `changed` differs.
fn document(version: u64, routes: usize, changed: Option<usize>) -> DeploymentDocument {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    for i in 0..routes {
        // A multiplicative hash, so that the entries don't resemble each other.
        let id = (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let timeout = if changed == Some(i) { 7 } else { 20_000 };
        let _ = write!(
            text,
            "{{\"name\":\"r-{id:x}\",\"path_prefix\":\"/{id:x}/\",\"timeout_ms\":{timeout}}},"
        );
    }
    text.push_str("]}");
    DeploymentDocument {
        version,
        bytes: text.into_bytes().into(),
    }
}

/// Maximum size of a patch that changes one route, however large the document is, in bytes.
const MAX_ROUTE_CHANGE_BYTES: usize = 1_024;

/// Guards against changes whose cost grows with the part of the document that stays the same.
#[test]
fn new_size_follows_change() {
    for routes in [1, 500, 5_000, 20_000, 60_000] {
        let base = document(1, routes, None);
        let next = document(2, routes, Some(routes / 3));
        let patch = DeploymentPatch::new(Some(&base), &next);
        assert_eq!(patch.apply(Some(&base)).unwrap(), next);
        let bytes = patch.bytes.len();
        assert!(
            bytes <= MAX_ROUTE_CHANGE_BYTES,
            "{bytes} bytes for {routes} routes"
        );
    }
}

#[test]
fn new_without_base() {
    let document = document(3, 1_000, None);
    let patch = DeploymentPatch::new(None, &document);
    assert!(patch.bytes.len() < document.bytes.len() / 2);
    assert_eq!(patch.apply(None).unwrap(), document);
}

/// Guards against a document that is rebuilt from the wrong version.
#[test]
fn apply_to_other_base() {
    let (base, next) = (document(1, 10, None), document(3, 10, Some(2)));
    let patch = DeploymentPatch::new(Some(&base), &next);
    let other = document(2, 10, None);
    let error = patch.apply(Some(&other)).unwrap_err();
    assert_eq!(
        error,
        PatchError::OtherBase {
            expected: Some(1),
            actual: Some(2)
        }
    );
    assert!(patch.apply(None).is_err());
}

/// Guards against damaged bytes that pass for a document.
#[test]
fn apply_damaged_bytes() {
    let document = document(1, 100, None);
    let patch = DeploymentPatch::new(None, &document);
    for i in 0..patch.bytes.len() {
        let mut damaged = patch.clone();
        damaged.bytes[i] ^= 0x10;
        let result = damaged.apply(None);
        assert!(result.is_err() || result.unwrap() == document, "byte {i}");
    }
}
