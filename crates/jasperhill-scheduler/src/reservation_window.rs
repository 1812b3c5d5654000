//! When a team's limit is reserved for its gangs, and when not. Pure; every change goes through
//! [`ReservationWindow::apply`].

use jasperhill_wire::Micros;

/// How long gangs of a team may keep others of the team from its limit without a pause ...
const RESERVED_MAX: Micros = Micros::from_secs(40);
/// ... and how long the pause is. Together shorter than any job may wait beside room.
const PAUSE: Micros = Micros::from_secs(20);

/// When a team's limit is reserved for its gangs. Guards against other work of the team that waits
/// beside room for as long as a gang does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservationWindow {
    since: Micros,
    last_used: Micros,
}

impl ReservationWindow {
    /// One that begins now.
    pub fn new(now: Micros) -> Self {
        Self {
            since: now,
            last_used: now,
        }
    }

    /// Whether something may be reserved now; the one function that changes it.
    pub fn apply(&mut self, now: Micros) -> bool {
        if now - self.since >= RESERVED_MAX + PAUSE || now - self.last_used >= PAUSE {
            self.since = now;
        }
        let is_open = now - self.since < RESERVED_MAX;
        if is_open {
            self.last_used = now;
        }
        is_open
    }
}
