//! The state of the store client: writes and reads that wait, and the budgets of requests and changes.
//! Changed only by the modules of `store`.

use crate::{settings::Settings, store::commit_queue::CommitQueue, token_bucket::TokenBucket};
use jasperhill_wire::Micros;
use tokio::sync::oneshot;

/// The part of a second's requests that a process may make at once when it starts. Guards against a
/// process that ends again and again, and each time begins with all that a second allows.
const INITIAL_FILL: f64 = 0.4;
/// The part of a controller's share of the limits that it uses: a margin below the service's own
/// count.
const USED_SHARE: f64 = 0.9;

/// The state of the store client.
pub(crate) struct StoreState {
    /// Writes that wait to be committed.
    pub commit_queue: CommitQueue,
    /// Callers that wait for a linearizable read; they are sent `true` once it is done.
    pub read_waiters: Vec<oneshot::Sender<bool>>,
    /// The budget of requests of any kind.
    pub requests: TokenBucket,
}

impl StoreState {
    /// That of a process that has just started, with an equal share of the limits for each partition's
    /// controller. `now`: by the steady clock.
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let share = 1.0 / f64::from(settings.size);
        let requests = settings.state_rps * share * USED_SHARE;
        let writes = settings.state_write_rps * share * USED_SHARE;
        Self {
            commit_queue: CommitQueue::new(TokenBucket::new(writes, writes, now), settings.txn_ops),
            read_waiters: Vec::new(),
            requests: TokenBucket::new(requests, requests, now).filled_to(INITIAL_FILL),
        }
    }
}
