//! Numbered change tickets.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::document::{
    Engine, Model, Object, ObjectKey, Organisation, Permission, Placement, Scheme, Service,
};
use crate::ids::{Revision, TicketNumber};
use crate::target::check_text;

/// Largest ticket text, in bytes.
pub const MAX_TICKET_BYTES: usize = 1 << 20;

/// The whole new state of every object that a change touches.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Ticket {
    /// Number; the first content committed under a number wins.
    pub number: TicketNumber,
    /// Who asks for the change.
    pub operator: Box<str>,
    /// Naming schemes.
    #[serde(default, rename = "scheme")]
    pub schemes: Vec<Scheme>,
    /// Organisations.
    #[serde(default, rename = "organisation")]
    pub organisations: Vec<Organisation>,
    /// Services.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Models.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// Engines.
    #[serde(default, rename = "engine")]
    pub engines: Vec<Engine>,
    /// Model placements.
    #[serde(default, rename = "placement")]
    pub placements: Vec<Placement>,
    /// Stage permissions.
    #[serde(default, rename = "permission")]
    pub permissions: Vec<Permission>,
    /// Objects to remove.
    #[serde(default, rename = "remove")]
    pub removals: Vec<ObjectKey>,
}

/// Why a text is not a ticket.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TicketError {
    /// The text is not TOML of the right shape.
    #[error("reading the ticket, line {line}, column {column}: {message}")]
    Syntax {
        /// Line, counted from 1.
        line: usize,
        /// Column in characters, counted from 1.
        column: usize,
        /// What is wrong.
        message: Box<str>,
    },
    /// The text is longer than [`MAX_TICKET_BYTES`].
    #[error("reading the ticket: {0} bytes exceed the limit of {MAX_TICKET_BYTES}")]
    TooLarge(usize),
    /// The ticket contradicts itself.
    #[error("checking ticket {number}: {message}")]
    Content {
        /// Number of the ticket.
        number: TicketNumber,
        /// What is wrong.
        message: Box<str>,
    },
}

impl Ticket {
    /// Reads a ticket from TOML and checks what does not depend on the configuration.
    ///
    /// # Errors
    ///
    /// Fails with line and column when the text is no ticket, and with the object's key when the
    /// ticket contradicts itself.
    pub fn parse(text: &str) -> Result<Self, TicketError> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(TicketError::TooLarge(text.len()));
        }
        let ticket: Self = toml::from_str(text).map_err(|e| syntax_error(text, &e))?;
        ticket.check()?;
        Ok(ticket)
    }

    /// Checks what does not depend on the configuration.
    ///
    /// # Errors
    ///
    /// Fails when an object is touched twice or a text exceeds its bound.
    pub fn check(&self) -> Result<(), TicketError> {
        let fail = |message| TicketError::Content {
            number: self.number,
            message,
        };
        check_text("operator", &self.operator).map_err(fail)?;
        let mut seen = BTreeSet::new();
        for key in self.touched() {
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

    /// All objects that the ticket sets.
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

    /// Keys of all objects that the ticket sets or removes.
    pub fn touched(&self) -> Vec<ObjectKey> {
        let set = self.objects();
        set.iter()
            .map(Object::key)
            .chain(self.removals.iter().cloned())
            .collect()
    }

    /// Digest of the content; the operator's name does not count.
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

/// What became of a ticket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Verdict {
    /// In force from this revision on.
    Applied {
        /// Revision that the ticket made.
        revision: Revision,
    },
    /// Refused whole: newer tickets have touched some of its objects.
    Superseded {
        /// Objects with the newer ticket.
        by: Vec<NewerTouch>,
    },
    /// Refused: the number belongs to another content.
    Conflict {
        /// What won.
        winner: Box<TicketRecord>,
    },
    /// Refused whole: it does not fit the configuration. The number stays free.
    Invalid {
        /// Everything that is wrong.
        problems: Vec<Box<str>>,
    },
}

/// An object that a newer ticket has touched.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NewerTouch {
    /// The object.
    pub object: ObjectKey,
    /// Newest ticket that touched it.
    pub ticket: TicketNumber,
}

/// The first content under a ticket number, with its verdict.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TicketRecord {
    /// Number of the ticket.
    pub number: TicketNumber,
    /// Who submitted it first.
    pub operator: Box<str>,
    /// Digest of the content.
    pub digest: Digest,
    /// What became of it.
    pub verdict: Verdict,
}
