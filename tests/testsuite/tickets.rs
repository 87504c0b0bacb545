//! Tests of tickets: resends, conflicting content, superseding, atomicity and deltas.

use proptest::prelude::*;
use toucanshelf_core::configuration::Configuration;
use toucanshelf_core::document::{ObjectKey, ObjectKind, Placement};
use toucanshelf_core::ids::{Revision, TicketNumber};
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::state::ControlState;
use toucanshelf_core::ticket::{Ticket, TicketError, Verdict};

use crate::support::{apply, engine, model, organisation, scheme, service, ticket};

/// Returns a ticket that sets the weight of the organisation `id`.
fn weight_ticket(number: u64, id: &str, weight: u32) -> Ticket {
    let mut out = ticket(number, "operator");
    out.organisations.push(organisation(id, weight));
    out
}

#[test]
fn apply_resend_after_snapshot() {
    let mut state = ControlState::new();
    let first = weight_ticket(5, "a", 1);
    let verdict = apply(&mut state, &first);
    assert_eq!(
        verdict,
        Verdict::Applied {
            revision: Revision(1)
        }
    );
    apply(&mut state, &weight_ticket(9, "a", 2));
    let mut restored = ControlState::from_bytes(&state.to_bytes()).unwrap();
    assert_eq!(
        apply(&mut restored, &first),
        verdict,
        "a resend receives the first verdict"
    );
    assert_eq!(restored.configuration().revision(), Revision(2));
}

#[test]
fn apply_other_content_under_number() {
    let mut state = ControlState::new();
    apply(&mut state, &weight_ticket(5, "a", 1));
    let mut other = weight_ticket(5, "a", 7);
    other.operator = "second".into();
    let Verdict::Conflict { winner } = apply(&mut state, &other) else {
        panic!()
    };
    assert_eq!(
        (&*winner.operator, winner.number),
        ("operator", TicketNumber(5))
    );
    assert_eq!(winner.digest, weight_ticket(5, "a", 1).digest());
}

#[test]
fn apply_older_ticket() {
    let mut state = ControlState::new();
    apply(&mut state, &weight_ticket(10, "a", 1));
    let mut late = weight_ticket(7, "a", 3);
    late.organisations.push(organisation("b", 3));
    let Verdict::Superseded { by } = apply(&mut state, &late) else {
        panic!()
    };
    assert_eq!(by[0].ticket, TicketNumber(10));
    let key = ObjectKey::new(ObjectKind::Organisation, "b");
    assert!(
        state.configuration().get(&key).is_none(),
        "a superseded ticket must not apply in part"
    );
    assert!(matches!(
        apply(&mut state, &late),
        Verdict::Superseded { .. }
    ));
}

#[test]
fn apply_after_removal() {
    let mut state = ControlState::new();
    apply(&mut state, &weight_ticket(1, "a", 1));
    let mut removal = ticket(5, "operator");
    removal
        .removals
        .push(ObjectKey::new(ObjectKind::Organisation, "a"));
    apply(&mut state, &removal);
    let verdict = apply(&mut state, &weight_ticket(3, "a", 1));
    assert!(
        matches!(verdict, Verdict::Superseded { .. }),
        "a removal counts as a change of the object"
    );
}

#[test]
fn apply_invalid_keeps_number() {
    let mut state = ControlState::new();
    let mut wrong = ticket(1, "operator");
    wrong.services.push(service("draft", Some("missing")));
    wrong.organisations.push(organisation("a", 1));
    let Verdict::Invalid { problems } = apply(&mut state, &wrong) else {
        panic!()
    };
    assert!(problems[0].contains("model/missing"), "{problems:?}");
    assert_eq!(
        state.configuration().revision(),
        Revision(0),
        "an invalid ticket must not change the configuration"
    );
    wrong.models.push(model("missing", 4));
    assert!(
        matches!(apply(&mut state, &wrong), Verdict::Applied { .. }),
        "the number of an invalid ticket can be used again"
    );
}

#[test]
fn apply_layers_beyond_model() {
    let mut state = ControlState::new();
    let mut wrong = ticket(1, "operator");
    wrong.models.push(model("m", 8));
    wrong.engines.push(engine("e", &[]));
    wrong.placements.push(Placement {
        id: "p".into(),
        engine: "e".into(),
        model: "m".into(),
        version: "v1".into(),
        layers: LayerRange::new(4, 9).unwrap(),
    });
    assert!(matches!(apply(&mut state, &wrong), Verdict::Invalid { .. }));
}

#[test]
fn apply_removal_of_referred_object() {
    let mut state = ControlState::new();
    let mut first = ticket(1, "operator");
    first.models.push(model("m", 8));
    first.services.push(service("s", Some("m")));
    apply(&mut state, &first);
    let mut removal = ticket(2, "operator");
    removal
        .removals
        .push(ObjectKey::new(ObjectKind::Model, "m"));
    assert!(matches!(
        apply(&mut state, &removal),
        Verdict::Invalid { .. }
    ));
    removal
        .removals
        .push(ObjectKey::new(ObjectKind::Service, "s"));
    assert!(matches!(
        apply(&mut state, &removal),
        Verdict::Applied { .. }
    ));
}

#[test]
fn parse_unknown_key() {
    let text = "number = 1\noperator = 'x'\n\n[[organisation]]\nid = 'a'\ncolour = 'red'\n";
    let error = Ticket::parse(text).unwrap_err();
    let TicketError::Syntax { line, message, .. } = &error else {
        panic!("{error}")
    };
    assert!(
        (4..=6).contains(line) && message.contains("colour"),
        "{error}"
    );
}

#[test]
fn parse_object_touched_twice() {
    let text = "number = 1\noperator = 'x'\n[[scheme]]\nid = 'a'\n[[scheme]]\nid = 'a'\n";
    assert!(matches!(
        Ticket::parse(text),
        Err(TicketError::Content { .. })
    ));
}

#[test]
fn parse_example_tickets() {
    for text in [
        include_str!("../../examples/leinenhof/ticket-1.toml"),
        include_str!("../../examples/cooperative/ticket-1.toml"),
    ] {
        let ticket = Ticket::parse(text).unwrap();
        let mut state = ControlState::new();
        assert!(matches!(
            apply(&mut state, &ticket),
            Verdict::Applied { .. }
        ));
        assert_eq!(ticket.engines.len(), 40);
    }
}

proptest! {
    /// A gate that applies deltas to an older snapshot reaches the same configuration.
    #[test]
    fn follow_by_deltas(steps in prop::collection::vec((1u64..40, 0u8..6, 1u32..5), 1..60), from in 0u64..20) {
        let mut state = ControlState::new();
        let mut scheme_ticket = ticket(1_000, "operator");
        scheme_ticket.schemes.push(scheme("s"));
        apply(&mut state, &scheme_ticket);
        let mut older = Configuration::with_snapshot(state.configuration().snapshot());
        for (number, id, weight) in steps {
            apply(&mut state, &weight_ticket(number, &format!("o{id}"), weight));
            if state.configuration().revision().0 <= from {
                older = Configuration::with_snapshot(state.configuration().snapshot());
            }
        }
        for delta in state.deltas_after(older.revision()).unwrap() {
            older.apply(&delta).unwrap();
        }
        prop_assert_eq!(older.snapshot(), state.configuration().snapshot());
        // A delta to an older revision is rejected.
        if let Some(first) = state.deltas_after(Revision(0)).unwrap().first() {
            prop_assert!(older.apply(first).is_err());
        }
    }

    /// An object ends in the state of its newest ticket, whatever the order of arrival.
    #[test]
    fn apply_in_any_order(numbers in Just((1u64..12).collect::<Vec<_>>()).prop_shuffle()) {
        let mut state = ControlState::new();
        for number in &numbers {
            apply(&mut state, &weight_ticket(*number, "a", *number as u32));
        }
        let newest = numbers.iter().max().copied().unwrap();
        let key = ObjectKey::new(ObjectKind::Organisation, "a");
        let expected = weight_ticket(newest, "a", newest as u32).objects().remove(0);
        prop_assert_eq!(state.configuration().get(&key), Some(&expected));
    }
}
