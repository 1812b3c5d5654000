//! Limits on the network connections of a process. The crate reads no clock and does no I/O; the
//! caller passes the time.
//!
//! - [`BudgetPlan`]: the limit on open connections and the guarantee of each [`Class`].
//! - [`ConnectionBudget`]: admission, keep-alive and eviction of the connections of the process.
//! - [`ConcurrencyLimiter`]: the limit on hosts with a command in flight, and the back-off of hosts
//!   that do not respond.
//!
//! `jasperhill-http` drives the budget from its client and server; the controller drives the
//! limiter from its command queue.

pub mod budget;
pub mod limiter;
pub mod plan;

pub use budget::{ClassUsage, ConnectionBudget, ConnectionId, Input, Output};
pub use limiter::ConcurrencyLimiter;
pub use plan::{BudgetPlan, Class, PlanInputs};
