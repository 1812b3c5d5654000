//! Tests of the host and partition state machines with scripted and generated events.

mod admission;
mod capacity;
mod failures;
mod host_commands;
mod late_copies;
mod placement;
mod results;
mod support;
mod takeover;
mod team_limits;
