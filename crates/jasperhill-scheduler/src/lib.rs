//! The decisions of jasperhill: host queues, the forward run, density, team limits, gangs,
//! preemption and the fleet plan. Pure: time is passed in, nothing here reads a clock or
//! does I/O.

pub mod book;
pub mod boots;
pub mod chain;
pub mod config;
pub mod done;
pub mod drain;
pub mod fleet;
pub mod floors;
pub mod forward;
pub mod gang;
pub mod host;
pub mod job;
pub mod partition;
pub mod pass;
#[cfg(test)]
mod plain;
pub mod progress;
pub mod recover;
pub mod room;
pub mod split;
pub mod suit;
pub mod trust;

pub use config::{MachineSpec, SchedulerConfig, TeamLimits, Tuning};
pub use done::TaskSet;
pub use host::{FencingState, Host, HostInput, Source};
pub use partition::{AdmissionDecision, Partition};
