//! A controller of the cluster scheduler: a thin I/O layer around the state machines of this crate,
//! of `jasperhill-scheduler` and of `jasperhill-membership`.
//!
//! - `controller` starts the loops; `shared` holds the context of all modules, `state` the mutable
//!   state.
//! - `store` is the client of the state service; `watch_cache` is the replica of the store that the
//!   client feeds; `scheduling` propagates changes of the replica and runs the scheduler.
//! - `users` handles requests of users, `heartbeats` those of workers, `mesh` those of other
//!   controllers.
//! - `relay`, `delegation` and `proposals` use other controllers or the store where a direct link
//!   is down.
//! - `roles` and `membership` determine which controller owns which role.
//! - `provisioner` rents and returns machines of the cloud.

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
