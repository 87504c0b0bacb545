//! Randomised soak test of the real programs with injected faults.
//!
//! [`plan::Plan`] draws a series of faults from a seed. Processes are stopped, paused, killed and
//! restarted, and the data folder of one control instance may be deleted. A loopback [`proxy`]
//! delays, blocks or resets the connections from the gates to control. [`run::run`] injects the
//! faults while callers send requests and an operator applies tickets, which are numbered changes
//! of the configuration. It then reports which guarantees of the system were violated.
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
