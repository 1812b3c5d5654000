//! Membership, without a clock and without I/O: a controller's authority, what it knows of the
//! links, and who should hold which role. The time is passed in, as microseconds of the steady
//! clock unless it says otherwise; what follows from a decision is done by the controller.

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
