//! Tests of the whole system and of its parts, a module an area.

mod admission;
mod bad_input;
mod charts;
mod claims;
mod control;
mod delivery;
mod docs;
mod links;
mod names;
mod processes;
mod quarantine;
mod routes;
mod support;
mod tickets;
