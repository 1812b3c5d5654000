//! Membership, without a clock and without I/O: a controller's authority, what it knows of the
//! links, and who should hold which role. The time is passed in; what follows from a decision is done by the controller.

pub mod authority;
pub mod bounds;
pub mod link;
pub mod lives;
pub mod roles;
pub mod view;

pub use authority::{Authority, Session};
pub use bounds::{FreshnessBounds, LeaseTerms};
pub use lives::RestartHistory;
pub use roles::{RoleOwnership, Roles, Transition};
pub use view::{LinkId, Reachability};
