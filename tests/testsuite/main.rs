//! Tests of the whole system and of its parts, a module an area.

mod charts;
