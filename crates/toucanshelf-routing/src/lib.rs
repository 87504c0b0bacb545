//! Route planning, admission and retry decisions without I/O.
//!
//! A [`fleet::Fleet`] holds a gate's view of the engines of one model. A [`planner::Planner`]
//! chooses a [`route::Route`] over them that runs every layer once, in order.
//! [`delivery::Delivery`] checks each token frame, an engine's message with one token of an answer,
//! before it is delivered. [`admission::Admission`] divides capacity between organisations.
//! [`retry`] limits retries, [`runs`] counts the runs of a request, and [`quarantine`] limits the
//! number of targets that one request can crash. [`load_exchange`] and [`room`] answer crowds on a
//! platform: what is known of the engines' load, and which requests may begin.
//!
//! ```
//! use toucanshelf_core::layers::LayerRange;
//! use toucanshelf_routing::fleet::{EngineInfo, Fleet};
//! use toucanshelf_routing::planner::{FlowPlanner, Planner, RouteRequest};
//!
//! let mut fleet = Fleet::new(20);
//! for (name, from, to) in [("a", 0, 10), ("b", 10, 20)] {
//!     let layers = LayerRange::new(from, to).unwrap();
//!     fleet.upsert(EngineInfo::new(name, "zone-1", layers, 100.0));
//! }
//! let mut planner = FlowPlanner::new();
//! let mut rng = rand::rng();
//! let route = planner
//!     .choose(&fleet, &RouteRequest::new("zone-1"), &mut rng)
//!     .unwrap();
//! assert_eq!(route.stages().len(), 2);
//! ```

pub mod admission;
pub mod budget;
pub mod crash_ledger;
pub mod delivery;
pub mod fleet;
pub mod flow;
pub mod hops;
pub mod isolation;
pub mod load_exchange;
pub mod matcher;
pub mod permits;
pub mod placement;
pub mod planner;
pub mod quarantine;
pub mod retry;
pub mod room;
pub mod route;
pub mod runs;
pub mod startup;
