//! A controller: sessions and authority, the store client, the watch cache and its linearizable read,
//! the mesh, the user API, dealings with workers and the cloud. Thin I/O around the state
//! machines here and in `jasperhill-scheduler`.

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
