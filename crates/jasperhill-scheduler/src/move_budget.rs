//! How fast replicas may be moved off hosts that are being drained.

use jasperhill_wire::Micros;

/// One in so many replicas is moved a second, and at most so many at a time. Each is away for
/// about a second: what the users see of it is one in so many replicas missing.
const MOVED: f64 = 500.0;
const MOVES_MOST: f64 = 16.0;

/// How many replicas may be moved by now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct MoveBudget {
    ready: f64,
    at: Micros,
}

impl MoveBudget {
    /// Counts up to now, and takes one if there is one.
    pub fn take(&mut self, replicas: usize, now: Micros) -> bool {
        self.ready += (now - self.at).as_secs_f64() * replicas as f64 / MOVED;
        self.ready = self
            .ready
            .min(MOVES_MOST.min(1.0 + replicas as f64 / MOVED));
        self.at = self.at.max(now);
        let may = self.ready >= 1.0;
        self.ready -= f64::from(u8::from(may));
        may
    }
}

#[cfg(test)]
mod tests;
