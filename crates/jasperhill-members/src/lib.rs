//! Membership, without a clock and without I/O: a controller's authority, and who should hold
//! which role. The time is passed in; what follows from a decision is done by the controller.

pub mod authority;
pub mod roles;

pub use authority::{Authority, Session};
pub use roles::{Roles, Seat, Step};
