//! Builders of tickets and their objects, a helper that applies tickets, and all orders of events.

use std::collections::BTreeMap;

use toucanshelf_core::document::{
    Class, Engine, Model, Organisation, Scheme, SchemeNames, Service,
};
use toucanshelf_core::ids::{LogTimeMs, TicketNumber};
use toucanshelf_core::state::{Command, CommandBody, ControlState, Reply};
use toucanshelf_core::ticket::{Ticket, Verdict};

/// Returns a name in each scheme from `(scheme, name)` pairs.
pub fn names(pairs: &[(&str, &str)]) -> SchemeNames {
    pairs
        .iter()
        .map(|(scheme, name)| ((*scheme).into(), (*name).into()))
        .collect()
}

/// Returns a ticket without changes; tests add the objects and removals.
pub fn ticket(number: u64, operator: &str) -> Ticket {
    Ticket {
        number: TicketNumber(number),
        operator: operator.into(),
        schemes: Vec::new(),
        organisations: Vec::new(),
        services: Vec::new(),
        models: Vec::new(),
        engines: Vec::new(),
        placements: Vec::new(),
        permissions: Vec::new(),
        removals: Vec::new(),
    }
}

/// Returns a naming scheme without a description.
pub fn scheme(id: &str) -> Scheme {
    Scheme {
        id: id.into(),
        description: "".into(),
    }
}

/// Returns a model of `layers` layers that has no names.
pub fn model(id: &str, layers: u32) -> Model {
    Model {
        id: id.into(),
        layers,
        names: BTreeMap::new(),
    }
}

/// Returns an engine with a name for each `(scheme, name)` pair.
pub fn engine(id: &str, pairs: &[(&str, &str)]) -> Engine {
    Engine {
        id: id.into(),
        names: names(pairs),
    }
}

/// Returns an organisation that has no token digests and no names.
pub fn organisation(id: &str, weight: u32) -> Organisation {
    Organisation {
        id: id.into(),
        weight,
        token_digests: Vec::new(),
        names: BTreeMap::new(),
    }
}

/// Returns a service of the default class, without repeatable paths.
pub fn service(id: &str, model: Option<&str>) -> Service {
    let model = model.map(Into::into);
    Service {
        id: id.into(),
        model,
        class: Class::default(),
        repeatable_paths: Vec::new(),
    }
}

/// Applies a ticket and returns its verdict.
pub fn apply(state: &mut ControlState, ticket: &Ticket) -> Verdict {
    let body = CommandBody::Ticket(Box::new(ticket.clone()));
    match state.apply(Command {
        at: LogTimeMs(1),
        body,
    }) {
        Reply::Verdict(verdict) => verdict,
        other => panic!("{other:?}"),
    }
}

/// Returns all orders of `items`.
pub fn all_orders<T: Copy>(items: &[T]) -> Vec<Vec<T>> {
    if items.is_empty() {
        return vec![Vec::new()];
    }
    let mut out = Vec::new();
    for (n, first) in items.iter().enumerate() {
        let others = [&items[..n], &items[n + 1..]].concat();
        for mut order in all_orders(&others) {
            order.insert(0, *first);
            out.push(order);
        }
    }
    out
}
