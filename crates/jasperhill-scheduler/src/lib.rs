//! Scheduling decisions of jasperhill: host queues, schedule simulation, admission, team limits,
//! gang scheduling, preemption and capacity planning.
//!
//! The crate is deterministic: time is passed in, and nothing here reads a clock or does I/O.

pub mod autoscaler;
pub mod boot_times;
pub mod config;
pub mod cycle;
pub mod dependencies;
pub mod failures;
pub mod host;
pub mod job;
pub(crate) mod move_budget;
pub mod pace;
pub mod partition;
pub mod recovery;
pub mod rental_plan;
mod reservation_window;
pub mod schedule_simulation;
pub mod sharding;
pub mod starvation;
pub mod task_set;

pub use cycle::CapacityClaims;

pub use config::{MachineSpec, SchedulerConfig, TeamLimits, Tuning};
pub use host::{FencingState, HeartbeatSource, Host, HostInput};
pub use partition::{AdmissionDecision, Partition};
pub use task_set::TaskSet;
