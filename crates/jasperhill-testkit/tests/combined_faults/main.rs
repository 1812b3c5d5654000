//! Scenarios in which several faults overlap. Each test provokes a given combination, counts how
//! often the combination occurred, and fails if it did not occur. docs/meetings.md has a row for
//! each combination.
//!
//! CI runs a bounded number of random scenarios with overlapping faults. To run more of them:
//! `FAULT_DAYS=200 cargo test --release -p jasperhill-testkit --test combined_faults -- --ignored`.

mod cancellations;
mod drawn_days;
mod late_messages;
mod machines;
mod outages;
mod restarts;
mod support;
mod users;
