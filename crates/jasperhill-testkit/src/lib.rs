//! Simulation of a whole deployment in one process: several real controllers, with simulated state
//! service, cloud, workers and users between them.
//!
//! Runs are seeded and use tokio's paused clock, so that a run repeats exactly. The protocol's
//! invariants are checked at every step; violations are recorded in `Outcome::violations`.

#![expect(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::too_many_lines,
    reason = "the simulated components are not fully documented yet: docs/ROADMAP.md lists them"
)]

pub mod behaviour;
pub mod cloud;
pub mod cluster;
pub mod connections;
pub mod days;
pub mod faults;
pub mod invariants;
pub mod outcome;
pub mod runner;
pub mod scenario;
pub mod state;
pub mod stress;
pub mod transcript;
pub mod users;
pub mod worker;

pub use cluster::SimulatedCluster;
pub use outcome::Outcome;
pub use runner::{run, run_all, run_recorded};
pub use scenario::{Scale, Scenario};
