//! Troubles that meet, each brought about on purpose: a test counts the event and fails if it did
//! not happen. docs/meetings.md has a row for each.
//!
//! CI plays a bounded number of drawn days on which several meet. More of them:
//! `FAULT_DAYS=200 cargo test --release -p jasperhill-testkit --test combined_faults -- --ignored`.

mod cancellations;
mod drawn_days;
mod late_messages;
mod machines;
mod outages;
mod restarts;
mod support;
mod users;
