//! Quarantine of a host because of task failures. A host is blamed for tasks that fail on it and
//! succeed elsewhere; failures of a job that fails on every host are removed from the host's
//! account.

use super::Host;
use jasperhill_wire::{JobId, Micros};

/// Number of failures without a completed task in between after which a host is quarantined.
const QUARANTINE_AFTER_FAILURES: usize = 2;
/// Length of a quarantine, counted from the latest failure.
const QUARANTINE_DURATION: Micros = Micros::from_secs(60);
/// Maximum number of failures remembered for a host.
const MAX_RECENT_FAILURES: usize = 16;
/// Time after the latest failure before a host counts as faulty. By then a job that fails on every
/// host has been identified and its failures are forgiven, so no host is returned to the cloud
/// because of it.
const FAULTY_AFTER: Micros = Micros::from_secs(8);
/// How long after its start a completed task counts as evidence that the host works.
const SUCCESS_VALID_FOR: Micros = Micros::from_secs(120);

impl Host {
    /// Records that a task of this job failed on the host. Returns true if this puts the host into
    /// quarantine, false if it was quarantined already or is not quarantined.
    pub fn record_failure(&mut self, job: &JobId, now: Micros) -> bool {
        if self.recent_failures.len() < MAX_RECENT_FAILURES {
            self.recent_failures.push(job.clone());
        }
        let has_too_many_failures = self.recent_failures.len() >= QUARANTINE_AFTER_FAILURES;
        let is_newly_quarantined =
            has_too_many_failures && self.quarantined_until.is_none_or(|t| now >= t);
        if has_too_many_failures {
            self.quarantined_until = Some(now + QUARANTINE_DURATION);
        }
        is_newly_quarantined
    }

    /// Removes the failures of a job that caused them itself, and ends the quarantine if the
    /// remaining failures don't justify it.
    pub fn forgive_failures(&mut self, job: &JobId) {
        let failures_before = self.recent_failures.len();
        self.recent_failures.retain(|j| j != job);
        if failures_before >= QUARANTINE_AFTER_FAILURES
            && self.recent_failures.len() < QUARANTINE_AFTER_FAILURES
        {
            self.quarantined_until = None;
        }
    }

    /// Returns whether the host fails the tasks that it starts: it has enough failures for a
    /// quarantine, and no job has been identified as their cause within `FAULTY_AFTER`.
    pub fn is_faulty(&self, now: Micros) -> bool {
        self.recent_failures.len() >= QUARANTINE_AFTER_FAILURES
            && self
                .quarantined_until
                .is_none_or(|t| now + QUARANTINE_DURATION >= t + FAULTY_AFTER)
    }

    /// Returns whether the host completed a task that was started less than `SUCCESS_VALID_FOR`
    /// ago, and all failures since that success are of the job `other_than`.
    pub fn has_recent_success_besides(&self, other_than: &JobId, now: Micros) -> bool {
        self.last_success_started
            .is_some_and(|t| now - t < SUCCESS_VALID_FOR)
            && self.recent_failures.iter().all(|j| j == other_than)
    }
}
