//! What bounds a process's sockets. Pure: no clock, no I/O.
//!
//! - [`BudgetPlan`]: how many sockets there are, and what each [`Class`] of them is guaranteed.
//! - [`ConnectionBudget`]: every connection of the process, by class and phase: who may come, who stays, who
//!   makes way.
//! - [`ConcurrencyLimiter`]: how many hosts are sent something at a time, and when one that does not answer is
//!   tried again.

pub mod budget;
pub mod limiter;
pub mod plan;

pub use budget::{ClassUsage, ConnectionBudget, ConnectionId, Input, Output};
pub use limiter::ConcurrencyLimiter;
pub use plan::{BudgetPlan, Class, PlanInputs};
