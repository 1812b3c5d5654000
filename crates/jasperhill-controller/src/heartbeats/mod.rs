//! Heartbeats of workers: receiving and routing them, answering those of the partitions owned here, and
//! registering machines that have no record yet.
//!
//! The state is [`state::HeartbeatState`]; only the files of this module change it, except that
//! `relay` takes the count of answers given without the store when it logs it. A heartbeat is answered
//! with status 200, which renews the worker's lease, only by the owner of its partition and only while
//! that may act on its roles. One exception is a delegate of the owner; see `delegation`.

mod deferral;
mod registration;
mod relayed;
pub(crate) mod response;
mod routing;
pub mod state;

use crate::shared::Shared;
use jasperhill_wire::{Micros, worker::Heartbeat};

/// How long a worker's heartbeat is held back, at most, while its owner changes: a worker waits four
/// seconds for a response.
const DEFERRAL_LIMIT: Micros = Micros::from_millis(3_400);

/// The same in a process that has just restarted quickly and may end as soon again. What it holds back
/// ends with it, and the worker has then waited for nothing: it had better try the next controller.
const UNSETTLED_DEFERRAL_LIMIT: Micros = Micros::from_millis(300);

/// Workers that are probed directly at a time, at most, so that a zone's return does not take a request
/// for each of its workers.
const PROBES_MAX: usize = 32;

/// A heartbeat while it is being answered.
struct ReceivedHeartbeat<'a> {
    /// The heartbeat, parsed.
    heartbeat: &'a Heartbeat,
    /// The heartbeat as it came, for relaying.
    body: &'a [u8],
    /// Until when it may be held back, by the steady clock.
    deadline: Micros,
}

impl Shared {
    /// Until when a heartbeat that comes now may be held back: when its worker stops waiting for the
    /// response, less the way back, or sooner in a process that may be about to end.
    fn heartbeat_deadline(&self) -> Micros {
        let now = self.now();
        let is_settled = self.state.borrow().membership.restarts.is_settled(now);
        let limit = if is_settled {
            DEFERRAL_LIMIT
        } else {
            UNSETTLED_DEFERRAL_LIMIT
        };
        now + limit
    }
}
