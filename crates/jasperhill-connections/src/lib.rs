//! Limits on a process's network connections. Pure: no clock, no I/O; the caller passes the time.
//!
//! - [`BudgetPlan`]: how many connections there may be and what each [`Class`] is guaranteed.
//! - [`ConnectionBudget`]: admission, keep-alive and eviction of every connection of the process.
//! - [`ConcurrencyLimiter`]: how many hosts are sent commands at a time, and the back-off of hosts
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
