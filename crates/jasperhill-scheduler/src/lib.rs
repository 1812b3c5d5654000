//! The decisions of jasperhill: host queues, the forward run, density, team limits, gangs,
//! preemption and the fleet plan. Pure: time is passed in, nothing here reads a clock or
//! does I/O.

pub mod admission;
pub mod autoscaler;
pub mod boot_times;
pub mod config;
pub mod cycle;
pub mod dependencies;
pub mod drain;
pub mod failures;
pub mod gang;
pub mod host;
pub mod job;
pub mod partition;
pub mod placement;
pub mod preemption;
pub mod recovery;
#[cfg(test)]
mod reference_model;
pub mod schedule_simulation;
pub mod sharding;
pub mod starvation;
pub mod stragglers;
pub mod task_set;

pub use config::{MachineSpec, SchedulerConfig, TeamLimits, Tuning};
pub use host::{FencingState, HeartbeatSource, Host, HostInput};
pub use partition::{AdmissionDecision, Partition};
pub use task_set::TaskSet;
