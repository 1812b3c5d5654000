//! Detects stalls of this process, and a state service that does not answer this process. Both are
//! inferred only from events within this process. Performs no I/O; every change goes through
//! [`StallDetector::apply`], which `Shared::note_activity` and the session renewal call.

use jasperhill_wire::Micros;

/// Minimum gap between two activities that counts as a stall. Normally there is some activity at least
/// every second. After a longer gap the process was suspended while its clocks continued, or got no CPU
/// time; both have the same effect.
const STALL_DURATION_MIN: Micros = Micros::from_millis(2_500);
/// Requests that are taken up within this time after a stall were queued during the stall.
const STALE_REQUEST_PERIOD: Micros = Micros::from_millis(20);
/// Time for which session renewals must go unanswered before the state service counts as silent.
/// Shorter failures can be accidental.
const STORE_SILENCE_MIN: Micros = Micros::from_secs(2);

/// An observed event.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// The process is running.
    Activity,
    /// The state service has answered a session renewal.
    RenewalAnswered,
    /// The state service has not answered a session renewal.
    RenewalUnanswered {
        /// When the renewal was sent, by the steady clock.
        sent: Micros,
    },
}

/// Detector of process stalls and of a silent state service. All times are by the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    /// Time of the last activity.
    last_activity: Micros,
    /// Time at which the last stall ended; `None` if there was no stall.
    resumed_at: Option<Micros>,
    /// Time at which the first of the consecutive unanswered renewals was sent; `None` if the last
    /// renewal was answered.
    first_unanswered_sent_at: Option<Micros>,
}

impl StallDetector {
    /// Creates the detector of a process that has just started.
    pub fn new(now: Micros) -> Self {
        Self {
            last_activity: now,
            resumed_at: None,
            first_unanswered_sent_at: None,
        }
    }

    /// Applies an event; the only function that changes the state. Returns the duration of a stall
    /// that has just ended, or `None`.
    pub fn apply(&mut self, input: Input, now: Micros) -> Option<Micros> {
        match input {
            Input::Activity => {
                let gap = now - std::mem::replace(&mut self.last_activity, now);
                if gap > STALL_DURATION_MIN {
                    self.resumed_at = Some(now);
                    // Renewals that went unanswered during the stall say nothing about the state
                    // service.
                    self.first_unanswered_sent_at = None;
                    return Some(gap);
                }
            }
            Input::RenewalAnswered => self.first_unanswered_sent_at = None,
            Input::RenewalUnanswered { sent } => {
                self.first_unanswered_sent_at.get_or_insert(sent);
            }
        }
        None
    }

    /// Returns whether requests that are taken up now were queued during a stall, so that their
    /// senders have given up on them.
    pub fn is_request_stale(&self, now: Micros) -> bool {
        self.resumed_at
            .is_some_and(|resumed_at| now - resumed_at < STALE_REQUEST_PERIOD)
    }

    /// Returns whether the state service has not answered this controller for `STORE_SILENCE_MIN`.
    pub fn is_store_silent(&self, now: Micros) -> bool {
        self.first_unanswered_sent_at
            .is_some_and(|sent| now - sent >= STORE_SILENCE_MIN)
    }
}
