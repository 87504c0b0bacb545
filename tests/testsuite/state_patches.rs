//! Tests of deployment patches in the replicated state.

use toucanshelf_core::deployment_patch::DeploymentPatch;
use toucanshelf_core::ids::LogTimeMs;
use toucanshelf_core::state::{
    Command, CommandBody, ControlState, DeploymentDocument, MAX_RETAINED_PATCHES, Reply,
};

fn document(version: u64) -> DeploymentDocument {
    let text = format!("{{\"version\":{version},\"routes\":[]}}");
    DeploymentDocument {
        version,
        bytes: text.into_bytes().into(),
    }
}

/// Applies the change from version `base` to `version`, and returns the version afterwards.
fn deploy(state: &mut ControlState, base: Option<u64>, version: u64) -> Option<u64> {
    let base = base.map(document);
    let patch = DeploymentPatch::new(base.as_ref(), &document(version));
    let command = Command {
        at: LogTimeMs(1),
        body: CommandBody::DeployPatch(patch),
    };
    let Reply::Deployment(current) = state.apply(command) else {
        panic!("a deployment is answered with its version");
    };
    current
}

#[test]
fn patch_to_current_version() {
    let mut state = ControlState::new();
    assert_eq!(deploy(&mut state, None, 3), Some(3));
    assert_eq!(deploy(&mut state, Some(3), 7), Some(7));
    assert_eq!(**state.deployment().unwrap(), document(7));
    let restored = ControlState::from_bytes(&state.to_bytes()).unwrap();
    assert_eq!(**restored.deployment().unwrap(), document(7));
}

/// Guards against a change that is built on a document that another operator has replaced.
#[test]
fn patch_to_replaced_version() {
    let mut state = ControlState::new();
    deploy(&mut state, None, 3);
    deploy(&mut state, Some(3), 7);
    assert_eq!(deploy(&mut state, Some(3), 9), Some(7));
    assert_eq!(**state.deployment().unwrap(), document(7));
    assert_eq!(deploy(&mut state, None, 5), Some(7));
    assert_eq!(**state.deployment().unwrap(), document(7));
}

#[test]
fn patches_after_known_version() {
    let mut state = ControlState::new();
    deploy(&mut state, None, 3);
    deploy(&mut state, Some(3), 7);
    deploy(&mut state, Some(7), 8);
    let patches = state.patches_after(3).unwrap();
    let mut rebuilt = document(3);
    for patch in &patches {
        rebuilt = patch.apply(Some(&rebuilt)).unwrap();
    }
    assert_eq!(rebuilt, document(8));
    assert_eq!(state.patches_after(7).unwrap().len(), 1);
    for unknown in [2, 5, 8, 9] {
        assert!(state.patches_after(unknown).is_none(), "{unknown}");
    }
}

/// Guards against a state that grows with the number of changes.
#[test]
fn patches_after_dropped_version() {
    let mut state = ControlState::new();
    deploy(&mut state, None, 1);
    let last = MAX_RETAINED_PATCHES as u64 + 10;
    for version in 2..=last {
        deploy(&mut state, Some(version - 1), version);
    }
    assert!(state.patches_after(1).is_none());
    let oldest = last - MAX_RETAINED_PATCHES as u64;
    assert_eq!(
        state.patches_after(oldest).unwrap().len(),
        MAX_RETAINED_PATCHES
    );
}
