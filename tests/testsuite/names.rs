//! Tests of name resolution across three naming schemes.

use toucanshelf_core::document::ObjectKind;
use toucanshelf_core::names::NameError;
use toucanshelf_core::state::ControlState;
use toucanshelf_core::ticket::Verdict;

use crate::support::{apply, engine, scheme, ticket};

/// Returns a state of two engines with names in three schemes.
///
/// The name `4100` belongs to `e1` in one scheme and to `e2` in another.
fn three_schemes() -> ControlState {
    let mut state = ControlState::new();
    let mut first = ticket(1, "operator");
    first
        .schemes
        .extend([scheme("yard"), scheme("stock"), scheme("old")]);
    first.engines.push(engine(
        "e1",
        &[("yard", "north-1"), ("stock", "4100"), ("old", "E1")],
    ));
    first.engines.push(engine(
        "e2",
        &[("yard", "north-2"), ("stock", "4101"), ("old", "4100")],
    ));
    assert!(matches!(apply(&mut state, &first), Verdict::Applied { .. }));
    state
}

#[test]
fn resolve_exact() {
    let state = three_schemes();
    let resolve = |name| state.configuration().resolve(ObjectKind::Engine, name);
    assert_eq!(resolve("stock:4100").unwrap().as_ref(), "e1");
    assert_eq!(resolve("old:4100").unwrap().as_ref(), "e2");
    assert_eq!(resolve("id:e1").unwrap().as_ref(), "e1");
}

#[test]
fn resolve_bare() {
    let state = three_schemes();
    let resolve = |name| state.configuration().resolve(ObjectKind::Engine, name);
    assert_eq!(resolve("north-2").unwrap().as_ref(), "e2");
    assert_eq!(resolve("e2").unwrap().as_ref(), "e2");
    assert!(matches!(
        resolve("yard:4100"),
        Err(NameError::Unknown { .. })
    ));
}

#[test]
fn resolve_ambiguous() {
    let state = three_schemes();
    let error = state
        .configuration()
        .resolve(ObjectKind::Engine, "4100")
        .unwrap_err();
    let candidates = error.candidates();
    assert_eq!(candidates.len(), 2, "{error}");
    for candidate in candidates {
        state
            .configuration()
            .resolve(ObjectKind::Engine, &candidate)
            .unwrap();
    }
}

#[test]
fn rename_at_one_revision() {
    let mut state = three_schemes();
    let mut swap = ticket(2, "operator");
    swap.engines.push(engine("e1", &[("yard", "north-2")]));
    swap.engines.push(engine("e2", &[("yard", "north-1")]));
    assert!(
        matches!(apply(&mut state, &swap), Verdict::Applied { .. }),
        "one ticket can swap two names"
    );
    let resolve = |name| state.configuration().resolve(ObjectKind::Engine, name);
    assert_eq!(resolve("north-1").unwrap().as_ref(), "e2");
    assert!(
        resolve("stock:4100").is_err(),
        "a ticket replaces the whole object, including its names"
    );
}

#[test]
fn name_taken() {
    let mut state = three_schemes();
    let mut second = ticket(2, "operator");
    second.engines.push(engine("e3", &[("yard", "north-1")]));
    let Verdict::Invalid { problems } = apply(&mut state, &second) else {
        panic!()
    };
    assert!(problems[0].contains("engine/e1"), "{problems:?}");
}
