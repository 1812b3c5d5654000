//! Failures of a host: it is quarantined for what fails there and succeeds elsewhere.

use super::Host;
use jasperhill_wire::{JobId, Micros};

/// Errors in a row after which a host is quarantined, and for how long.
const QUARANTINE_AFTER: usize = 2;
const QUARANTINE: Micros = Micros::from_secs(60);
/// Errors remembered.
const FAILURES_MAX: usize = 16;
/// By then a job that fails everywhere is found out: no host is returned for its errors before.
const FORGIVEN_WITHIN: Micros = Micros::from_secs(8);
/// A completed task proves a host for so long after its start.
const PROVED_FOR: Micros = Micros::from_secs(120);

impl Host {
    /// A task of this job failed here. True if the host is quarantined for it.
    pub fn record_failure(&mut self, job: &JobId, now: Micros) -> bool {
        if self.recent_failures.len() < FAILURES_MAX {
            self.recent_failures.push(job.clone());
        }
        let aside = self.recent_failures.len() >= QUARANTINE_AFTER;
        let news = aside && self.quarantined_until.is_none_or(|t| now >= t);
        if aside {
            self.quarantined_until = Some(now + QUARANTINE);
        }
        news
    }

    /// The failures of this job turn out to be its own.
    pub fn forgive_failures(&mut self, job: &JobId) {
        let before = self.recent_failures.len();
        self.recent_failures.retain(|j| j != job);
        if before >= QUARANTINE_AFTER && self.recent_failures.len() < QUARANTINE_AFTER {
            self.quarantined_until = None;
        }
    }

    /// Fails what it starts, by errors that no job has been found to be the cause of for a while.
    pub fn is_faulty(&self, now: Micros) -> bool {
        self.recent_failures.len() >= QUARANTINE_AFTER
            && self
                .quarantined_until
                .is_none_or(|t| now + QUARANTINE >= t + FORGIVEN_WITHIN)
    }

    /// Has served others lately, and nothing speaks against it.
    pub fn has_served_others(&self, other_than: &JobId, now: Micros) -> bool {
        self.last_success_started
            .is_some_and(|t| now - t < PROVED_FOR)
            && self.recent_failures.iter().all(|j| j == other_than)
    }
}
