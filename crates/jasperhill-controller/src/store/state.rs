//! What the client of the state service keeps.

use crate::{settings::Settings, store::commit_queue::CommitQueue, token_bucket::TokenBucket};
use jasperhill_wire::Micros;
use tokio::sync::oneshot;

/// The part of a second's requests that a process may make at once when it starts.
const INITIAL_FILL: f64 = 0.4;
/// The part of a controller's share of the limits that it uses.
const USED_SHARE: f64 = 0.9;

/// What the client of the state service keeps.
pub(crate) struct StoreState {
    /// Writes that wait for their turn.
    pub commit_queue: CommitQueue,
    /// Who waits for a linearizable read; `true` once it is done.
    pub read_waiters: Vec<oneshot::Sender<bool>>,
    /// Requests of any kind.
    pub requests: TokenBucket,
}

impl StoreState {
    /// With an equal share of the limits for each partition's controller.
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let share = 1.0 / f64::from(settings.size);
        let requests = settings.state_rps * share * USED_SHARE;
        let writes = settings.state_write_rps * share * USED_SHARE;
        Self {
            commit_queue: CommitQueue::new(TokenBucket::new(writes, writes, now), settings.txn_ops),
            read_waiters: Vec::new(),
            // Guards against a process that ends again and again, and each time begins with all
            // that a second allows.
            requests: TokenBucket::new(requests, requests, now).filled_to(INITIAL_FILL),
        }
    }
}
