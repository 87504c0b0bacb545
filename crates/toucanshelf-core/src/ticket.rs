//! Tickets: numbered changes that operators make to the configuration.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::document::{
    Engine, Model, Object, ObjectKey, Organisation, Permission, Placement, Scheme, Service,
};
use crate::ids::{Revision, TicketNumber};
use crate::target::check_text;

/// Maximum size of a ticket text, in bytes.
pub const MAX_TICKET_BYTES: usize = 1 << 20;

/// A numbered change that sets or removes whole configuration objects.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Ticket {
    /// Number of the ticket; the first content committed under a number is final.
    pub number: TicketNumber,
    /// Operator who submits the change.
    pub operator: Box<str>,
    /// Naming schemes to create or replace.
    #[serde(default, rename = "scheme")]
    pub schemes: Vec<Scheme>,
    /// Organisations to create or replace.
    #[serde(default, rename = "organisation")]
    pub organisations: Vec<Organisation>,
    /// Services to create or replace.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Models to create or replace.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// Engines to create or replace.
    #[serde(default, rename = "engine")]
    pub engines: Vec<Engine>,
    /// Placements (layers that an engine is to hold) to create or replace.
    #[serde(default, rename = "placement")]
    pub placements: Vec<Placement>,
    /// Permissions (engines that may run certain layers) to create or replace.
    #[serde(default, rename = "permission")]
    pub permissions: Vec<Permission>,
    /// Keys of the objects to remove.
    #[serde(default, rename = "remove")]
    pub removals: Vec<ObjectKey>,
}

/// Error from parsing or checking a ticket.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TicketError {
    /// The text is not valid TOML or does not match the ticket format.
    #[error("reading the ticket, line {line}, column {column}: {message}")]
    Syntax {
        /// Line of the ticket file that has the error, counted from 1.
        line: usize,
        /// Column of the error within that line, in characters, counted from 1.
        column: usize,
        /// Description of the error.
        message: Box<str>,
    },
    /// The text is longer than [`MAX_TICKET_BYTES`]; the field is its size in bytes.
    #[error("reading the ticket: {0} bytes exceed the limit of {MAX_TICKET_BYTES}")]
    TooLarge(usize),
    /// The content of the ticket is invalid in every configuration.
    #[error("checking ticket {number}: {message}")]
    Content {
        /// Number of the ticket.
        number: TicketNumber,
        /// Description of the error.
        message: Box<str>,
    },
}

impl Ticket {
    /// Parses a ticket from TOML and runs [`Self::check`] on it.
    ///
    /// # Errors
    ///
    /// Fails if the text is too large, is not a ticket or does not pass [`Self::check`].
    pub fn parse(text: &str) -> Result<Self, TicketError> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(TicketError::TooLarge(text.len()));
        }
        let ticket: Self = toml::from_str(text).map_err(|e| syntax_error(text, &e))?;
        ticket.check()?;
        Ok(ticket)
    }

    /// Checks those parts of the ticket that do not depend on the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the ticket contains no object or the same object twice, or if the operator or an id
    /// does not pass [`check_text`].
    pub fn check(&self) -> Result<(), TicketError> {
        let fail = |message| TicketError::Content {
            number: self.number,
            message,
        };
        check_text("operator", &self.operator).map_err(fail)?;
        let mut seen = BTreeSet::new();
        for key in self.changed_keys() {
            check_text("id", &key.id).map_err(fail)?;
            if !seen.insert(key.clone()) {
                return Err(fail(format!("{key} is touched twice").into()));
            }
        }
        if seen.is_empty() {
            return Err(fail("the ticket touches nothing".into()));
        }
        Ok(())
    }

    /// Returns all objects that the ticket sets.
    pub fn objects(&self) -> Vec<Object> {
        let mut out = Vec::new();
        out.extend(self.schemes.iter().cloned().map(Object::Scheme));
        out.extend(self.organisations.iter().cloned().map(Object::Organisation));
        out.extend(self.services.iter().cloned().map(Object::Service));
        out.extend(self.models.iter().cloned().map(Object::Model));
        out.extend(self.engines.iter().cloned().map(Object::Engine));
        out.extend(self.placements.iter().cloned().map(Object::Placement));
        out.extend(self.permissions.iter().cloned().map(Object::Permission));
        out
    }

    /// Returns the keys of all objects that the ticket sets or removes.
    pub fn changed_keys(&self) -> Vec<ObjectKey> {
        let objects = self.objects();
        objects
            .iter()
            .map(Object::key)
            .chain(self.removals.iter().cloned())
            .collect()
    }

    /// Returns the digest of the ticket's content without the operator's name.
    pub fn digest(&self) -> Digest {
        let content = (self.number, self.objects(), &self.removals);
        let mut buf = Vec::new();
        ciborium::into_writer(&content, &mut buf).expect("a ticket is always serialisable");
        Digest::of(&buf)
    }
}

fn syntax_error(text: &str, error: &toml::de::Error) -> TicketError {
    let offset = error.span().map_or(0, |span| span.start).min(text.len());
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    TicketError::Syntax {
        line,
        column,
        message: error.message().into(),
    }
}

/// Decision on a submitted ticket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Verdict {
    /// The ticket took effect and changed the configuration.
    Applied {
        /// Revision of the configuration that the ticket created.
        revision: Revision,
    },
    /// The ticket was rejected, because newer tickets set or removed some of its objects.
    Superseded {
        /// Objects changed by newer tickets.
        by: Vec<NewerChange>,
    },
    /// The ticket was rejected, because different content was committed under its number.
    Conflict {
        /// Record of the content committed first.
        winner: Box<TicketRecord>,
    },
    /// The ticket was rejected, because the resulting configuration would be invalid.
    ///
    /// Its number can be used again.
    Invalid {
        /// All validation errors of the ticket.
        problems: Vec<Box<str>>,
    },
}

/// An object that a newer ticket has set or removed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NewerChange {
    /// Key of the object.
    pub object: ObjectKey,
    /// Newest ticket that set or removed the object.
    pub ticket: TicketNumber,
}

/// Record of the first content committed under a ticket number.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TicketRecord {
    /// Number of the ticket.
    pub number: TicketNumber,
    /// Operator who first submitted the content.
    pub operator: Box<str>,
    /// Digest of the content, from [`Ticket::digest`].
    pub digest: Digest,
    /// Verdict on the ticket.
    pub verdict: Verdict,
}
