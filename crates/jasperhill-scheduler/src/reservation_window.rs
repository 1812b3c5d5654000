//! Time windows in which a team's limit is reserved for its gangs.
//!
//! [`ReservationWindow`] does no I/O and reads no clock; every change goes through
//! [`ReservationWindow::is_open_at`].

use jasperhill_wire::Micros;

/// Maximum time for which gangs of a team may keep the team's other work from its limit without a
/// pause.
const MAX_RESERVATION: Micros = Micros::from_secs(40);
/// Pause between two reservations. A reservation and the following pause together are shorter than
/// the time for which a job may wait although there is free capacity.
const PAUSE: Micros = Micros::from_secs(20);

/// Alternating reservation and pause for the gangs of one team. Without the pause, the team's other
/// work would wait next to free capacity for as long as a gang waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservationWindow {
    /// Start of the current reservation period.
    since: Micros,
    /// Time at which a reservation was last allowed.
    last_used: Micros,
}

impl ReservationWindow {
    /// Creates a window whose reservation period begins now.
    pub fn new(now: Micros) -> Self {
        Self {
            since: now,
            last_used: now,
        }
    }

    /// Returns whether the team's limit may be reserved now, and starts a new period when the
    /// previous one is over or unused. Nothing else changes the window.
    pub fn is_open_at(&mut self, now: Micros) -> bool {
        if now - self.since >= MAX_RESERVATION + PAUSE || now - self.last_used >= PAUSE {
            self.since = now;
        }
        let is_open = now - self.since < MAX_RESERVATION;
        if is_open {
            self.last_used = now;
        }
        is_open
    }
}
