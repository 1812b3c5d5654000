//! Worker heartbeats: receives and routes heartbeats, answers the heartbeats of partitions that this
//! controller owns, and registers machines that have no record yet.
//!
//! The state is [`state::HeartbeatState`]. Only this module changes that state, except that `relay`
//! resets the count of answers given without the store when it logs the count.
//!
//! Invariant: a response with status 200 renews the worker's lease. Only the owner of the worker's
//! partition sends one, and only while the owner has the authority to act on its roles. The one
//! exception is a delegate of the owner; see `delegation`.

mod deferral;
mod registration;
mod relayed;
pub(crate) mod response;
mod routing;
pub mod state;

use crate::shared::Shared;
use jasperhill_wire::{Micros, worker::Heartbeat};

/// The longest time for which a heartbeat is held back while its partition changes owners. Workers wait
/// four seconds for a response.
const MAX_DEFERRAL: Micros = Micros::from_millis(3_400);

/// The longest time for which a heartbeat is held back by a process that restarted quickly and may soon
/// end again. Heartbeats held back by a process that ends get no response, so the worker would have
/// done better to try the next controller.
const MAX_DEFERRAL_AFTER_QUICK_RESTART: Micros = Micros::from_millis(300);

/// The largest number of workers that are probed directly at the same time, so that a zone that becomes
/// reachable again does not cost one request for each of its workers.
const MAX_CONCURRENT_PROBES: usize = 32;

/// A received heartbeat that has not been answered yet.
struct ReceivedHeartbeat<'a> {
    /// The parsed heartbeat.
    heartbeat: &'a Heartbeat,
    /// The request body as received, for relaying.
    body: &'a [u8],
    /// The time up to which the heartbeat may be held back, by the monotonic clock.
    deadline: Micros,
}

impl Shared {
    /// Returns the time up to which a heartbeat that arrives now may be held back: shortly before its
    /// worker stops waiting, to leave time for the response to travel, or sooner if this process may be
    /// about to end.
    fn heartbeat_deadline(&self) -> Micros {
        let now = self.now();
        let is_settled = self.state.borrow().membership.restarts.is_stable(now);
        let limit = if is_settled {
            MAX_DEFERRAL
        } else {
            MAX_DEFERRAL_AFTER_QUICK_RESTART
        };
        now + limit
    }

    /// Records the size of a received heartbeat, in bytes.
    fn record_heartbeat_size(&self, bytes: usize) {
        let mut state = self.state.borrow_mut();
        state.commands.metrics.record_heartbeat(bytes);
    }
}
