//! Rate limit for moving service replicas off hosts that are being drained.

use jasperhill_wire::Micros;

/// Number of replicas for which one move per second is allowed. A moved replica is unavailable for
/// about a second, so that users see one in this many replicas missing.
const REPLICAS_PER_MOVE: f64 = 500.0;
/// Maximum number of replicas moved at a time.
const MAX_BURST: f64 = 16.0;

/// Token bucket that limits how many replicas may be moved.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct MoveBudget {
    /// Number of replicas that may be moved now.
    tokens: f64,
    /// Time up to which tokens have been added.
    updated: Micros,
}

impl MoveBudget {
    /// Adds the tokens due by `now` and takes one. Returns whether a replica may be moved.
    pub fn take(&mut self, replicas: usize, now: Micros) -> bool {
        self.tokens += (now - self.updated).as_secs_f64() * replicas as f64 / REPLICAS_PER_MOVE;
        self.tokens = self
            .tokens
            .min(MAX_BURST.min(1.0 + replicas as f64 / REPLICAS_PER_MOVE));
        self.updated = self.updated.max(now);
        let is_allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_allowed));
        is_allowed
    }
}

#[cfg(test)]
mod tests;
