//! Tests of the whole system and of its parts, with one module for each area.

mod admission;
mod bad_input;
mod budget;
mod charts;
mod claims;
mod control;
mod crashing_content;
mod delivery;
mod deployment;
mod docs;
mod events;
mod hops;
mod ingress;
mod links;
mod matcher;
mod names;
mod orders;
mod placement;
mod platform_support;
mod processes;
mod quarantine;
mod registry;
mod routes;
mod soak;
mod support;
mod tickets;
