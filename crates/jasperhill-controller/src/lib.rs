//! A controller: sessions and authority, the store client, the mirror and its read barrier,
//! the mesh, the user API, dealings with workers and the cloud. Thin I/O around the state
//! machines here and in `jasperhill-scheduler`.

pub mod budget;
pub mod clock;
mod cloud;
pub mod controller;
mod counts;
mod hostbook;
mod keep;
mod links;
mod mesh;
pub mod mirror;
pub mod net;
pub mod pulse;
mod roles;
mod room;
pub mod settings;
mod store;
mod upgrade;
mod users;
mod wants;
mod workers;

pub use clock::Clock;
pub use controller::Controller;
pub use net::{HttpTransport, Transport};
pub use settings::{OperatorSettings, Settings, SettingsError};
