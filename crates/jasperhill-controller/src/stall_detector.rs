//! Whether this process has stood still, and whether the state service answers it. Both are
//! told from what goes on here alone; every change goes through [`StallDetector::apply`].

use jasperhill_wire::Micros;

/// Something happens here at least every second. After a longer gap the process has stood
/// still while its clocks ran on, or got no processor time, which comes to the same.
const GAP: Micros = Micros::from_millis(2_500);
/// What is taken up within this time after a standstill has queued up in it.
const QUEUED: Micros = Micros::from_millis(20);
/// Renewals of the session that fail for so long are no accident.
const SILENT: Micros = Micros::from_secs(2);

#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// Something happens.
    Activity,
    /// The state service has answered a renewal of the session, or not; sent at that time.
    Answered,
    Unanswered {
        sent: Micros,
    },
}

#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    last: Micros,
    resumed: Option<Micros>,
    unanswered: Option<Micros>,
}

impl StallDetector {
    pub fn new(now: Micros) -> Self {
        Self {
            last: now,
            resumed: None,
            unanswered: None,
        }
    }

    /// The one function that changes it. After how long a standstill, if one has just ended.
    pub fn apply(&mut self, input: Input, now: Micros) -> Option<Micros> {
        match input {
            Input::Activity => {
                let gap = now - std::mem::replace(&mut self.last, now);
                if gap > GAP {
                    self.resumed = Some(now);
                    // What went unanswered meanwhile is no fault of the state service.
                    self.unanswered = None;
                    return Some(gap);
                }
            }
            Input::Answered => self.unanswered = None,
            Input::Unanswered { sent } => {
                self.unanswered.get_or_insert(sent);
            }
        }
        None
    }

    /// Requests that are taken up now waited out a standstill: whoever sent them has given up.
    pub fn is_stale(&self, now: Micros) -> bool {
        self.resumed.is_some_and(|t| now - t < QUEUED)
    }

    /// The state service does not answer this controller.
    pub fn is_store_silent(&self, now: Micros) -> bool {
        self.unanswered.is_some_and(|t| now - t >= SILENT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_standstill_is_noticed_once_and_what_queued_up_is_stale() {
        let at = Micros::from_millis;
        let mut pulse = StallDetector::new(at(0));
        for t in 1..5 {
            assert_eq!(pulse.apply(Input::Activity, at(1_000 * t)), None);
        }
        pulse.apply(Input::Unanswered { sent: at(4_000) }, at(5_000));
        assert!(!pulse.is_store_silent(at(5_900)) && pulse.is_store_silent(at(6_000)));
        let gap = pulse.apply(Input::Activity, at(34_000));
        assert_eq!(gap, Some(at(30_000)));
        assert!(pulse.is_stale(at(34_010)) && !pulse.is_stale(at(34_020)));
        assert!(!pulse.is_store_silent(at(34_010)));
        assert_eq!(pulse.apply(Input::Activity, at(34_010)), None);
    }
}
