//! Detects that this process has stalled, and that the state service does not answer it. Both are
//! inferred from what goes on in this process alone. Pure; every change goes through
//! [`StallDetector::apply`], called by `Shared::note_activity` and by the renewal of the session.

use jasperhill_wire::Micros;

/// There is some activity at least every second. After a longer gap the process has stalled while
/// its clocks ran on, or got no processor time, which comes to the same.
const STALL_GAP: Micros = Micros::from_millis(2_500);
/// Requests that are taken up within this time after a stall have queued up in it.
const STALE_PERIOD: Micros = Micros::from_millis(20);
/// Renewals of the session that fail for so long are no accident.
const STORE_SILENCE: Micros = Micros::from_secs(2);

/// What is observed.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// The process runs.
    Activity,
    /// The state service has answered a renewal of the session.
    Answered,
    /// The state service has not answered a renewal of the session.
    Unanswered {
        /// When it was sent, by the steady clock.
        sent: Micros,
    },
}

/// When the process last ran, and since when the state service is silent; all times by the steady
/// clock.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    /// When the process last ran.
    last_activity: Micros,
    /// The end of the last stall.
    resumed: Option<Micros>,
    /// When the first of the renewals was sent that have gone unanswered in a row.
    first_unanswered: Option<Micros>,
}

impl StallDetector {
    /// That of a process that has just started.
    pub fn new(now: Micros) -> Self {
        Self {
            last_activity: now,
            resumed: None,
            first_unanswered: None,
        }
    }

    /// The one function that changes it. How long the process has stalled, if a stall has just ended.
    pub fn apply(&mut self, input: Input, now: Micros) -> Option<Micros> {
        match input {
            Input::Activity => {
                let gap = now - std::mem::replace(&mut self.last_activity, now);
                if gap > STALL_GAP {
                    self.resumed = Some(now);
                    // What went unanswered meanwhile is no fault of the state service.
                    self.first_unanswered = None;
                    return Some(gap);
                }
            }
            Input::Answered => self.first_unanswered = None,
            Input::Unanswered { sent } => {
                self.first_unanswered.get_or_insert(sent);
            }
        }
        None
    }

    /// Whether requests that are taken up now have waited through a stall: whoever sent them has given
    /// up.
    pub fn is_stale(&self, now: Micros) -> bool {
        self.resumed
            .is_some_and(|resumed| now - resumed < STALE_PERIOD)
    }

    /// Whether the state service does not answer this controller.
    pub fn is_store_silent(&self, now: Micros) -> bool {
        self.first_unanswered
            .is_some_and(|sent| now - sent >= STORE_SILENCE)
    }
}
