//! The host and partition state machines, driven by chosen and by generated events.

mod admission;
mod failures;
mod host_commands;
mod placement;
mod support;
mod takeover;
mod team_limits;
