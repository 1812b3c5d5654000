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

use jasperhill_wire::{Micros, worker::Heartbeat};

/// How long a worker's heartbeat is held back, at most, while its owner changes: a worker waits four
/// seconds for a response.
const DEFERRAL_LIMIT: Micros = Micros::from_millis(3_400);

/// Workers that are probed directly at a time, at most, so that a zone's return does not take a request
/// for each of its workers.
const PROBES_MAX: usize = 32;

/// A heartbeat while it is being answered.
struct ReceivedHeartbeat<'a> {
    /// The heartbeat, parsed.
    heartbeat: &'a Heartbeat,
    /// The heartbeat as it came, for relaying.
    body: &'a [u8],
    /// When it came, by the steady clock.
    received_at: Micros,
}

impl ReceivedHeartbeat<'_> {
    /// When the worker stops waiting for the response, less the way back.
    fn response_deadline(&self) -> Micros {
        self.received_at + DEFERRAL_LIMIT
    }
}
