//! Cluster membership of a controller: its session and authority, the health of its network links,
//! and the assignment of roles to controllers.
//!
//! The crate reads no clock and does no I/O. The caller passes the time, in microseconds of the
//! monotonic clock unless documented otherwise, and carries out the returned decisions.
//!
//! - [`Authority`]: whether the controller may act now.
//! - [`FreshnessBounds`]: the permitted age of the knowledge on which a lease renewal is based.
//! - [`Reachability`]: the health of the links of this controller and of its peers.
//! - [`RestartHistory`]: detection of crash loops.
//! - [`Roles`]: takeover, hand-over and release of roles.

pub mod authority;
pub mod freshness;
pub mod link;
pub mod reachability;
pub mod restart_history;
pub mod roles;

pub use authority::{Authority, Session};
pub use freshness::{FreshnessBounds, LeaseTerms};
pub use reachability::{LinkId, Reachability};
pub use restart_history::RestartHistory;
pub use roles::{RoleOwnership, Roles, Transition};
