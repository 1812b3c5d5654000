//! What bounds a process's sockets. Pure: no clock, no I/O.
//!
//! - [`Plan`]: how many sockets there are, and what each [`Class`] of them is guaranteed.
//! - [`Account`]: every connection of the process, by class and phase: who may come, who stays, who
//!   makes way.
//! - [`Window`]: how many hosts are sent something at a time, and when one that does not answer is
//!   tried again.

pub mod account;
pub mod plan;
pub mod window;

pub use account::{ClassUsage, ConnectionBudget, ConnectionId, Input, Output};
pub use plan::{BudgetPlan, Class, PlanInputs};
pub use window::ConcurrencyLimiter;
