//! A controller of the cluster scheduler: thin I/O around the state machines here, in
//! `jasperhill-scheduler` and in `jasperhill-membership`.
//!
//! - `controller` starts the loops; `shared` is the context that they share, `state` all that changes.
//! - `store` is the client of the state service; `watch_cache` the replica of the store that it feeds;
//!   `scheduling` carries the changes over and runs the scheduler.
//! - `users` answers users, `heartbeats` workers, `mesh` the other controllers; `relay`, `delegation`
//!   and `proposals` go by way of those where a direct link is down.
//! - `roles` and `membership`: which controller owns what. `provisioner`: machines of the cloud.

pub mod clock;
mod commands;
mod connections;
pub mod controller;
mod delegation;
mod feature_gate;
mod heartbeats;
mod host_registry;
mod membership;
mod mesh;
mod proposals;
mod provisioner;
mod relay;
mod results;
mod roles;
mod scheduling;
pub mod settings;
mod shared;
pub mod stall_detector;
mod state;
mod store;
mod task_counts;
pub mod token_bucket;
pub mod transport;
mod users;
pub mod watch_cache;

pub use clock::Clock;
pub use controller::Controller;
pub use settings::{OperatorSettings, Settings, SettingsError};
pub use transport::{HttpTransport, Transport};
