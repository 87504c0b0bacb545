//! Randomized soak: the real programs as processes, with faults from outside.
//!
//! [`plan::Plan`] draws a series of faults from a seed: processes are stopped, paused, killed and
//! started again by signals, a data folder is lost, and the links to control are delayed, cut,
//! silenced or reset by a loopback [`proxy`]. [`run::run`] plays it while callers send requests
//! and an operator applies tickets, and tells which promises were broken.
//!
//! ```
//! use toucanshelf_soak::plan::Plan;
//!
//! assert_eq!(Plan::draw(7, 12).steps, Plan::draw(7, 12).steps);
//! assert_ne!(Plan::draw(7, 12).steps, Plan::draw(8, 12).steps);
//! ```

pub mod deployment;
mod load;
mod operator;
pub mod plan;
pub mod process;
pub mod program;
pub mod proxy;
pub mod run;
