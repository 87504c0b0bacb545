//! Builders that set up a case.

use std::collections::BTreeMap;

use toucanshelf_core::document::{
    Class, Engine, Model, Organisation, Scheme, SchemeNames, Service,
};
use toucanshelf_core::ids::{LogTimeMs, TicketNumber};
use toucanshelf_core::state::{Command, CommandBody, ControlState, Reply};
use toucanshelf_core::ticket::{Ticket, Verdict};

/// Names from (scheme, name) pairs.
pub fn names(pairs: &[(&str, &str)]) -> SchemeNames {
    pairs
        .iter()
        .map(|(scheme, name)| ((*scheme).into(), (*name).into()))
        .collect()
}

/// An empty ticket; tests fill in what it touches.
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

pub fn scheme(id: &str) -> Scheme {
    Scheme {
        id: id.into(),
        description: "".into(),
    }
}

pub fn model(id: &str, layers: u32) -> Model {
    Model {
        id: id.into(),
        layers,
        names: BTreeMap::new(),
    }
}

pub fn engine(id: &str, pairs: &[(&str, &str)]) -> Engine {
    Engine {
        id: id.into(),
        names: names(pairs),
    }
}

pub fn organisation(id: &str, weight: u32) -> Organisation {
    Organisation {
        id: id.into(),
        weight,
        token_digests: Vec::new(),
        names: BTreeMap::new(),
    }
}

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
