//! State of the state service client: queued writes, waiting reads, and the budgets for requests
//! and changes. Changed only by the modules of `store`.

use crate::{settings::Settings, store::commit_queue::CommitQueue, token_bucket::TokenBucket};
use jasperhill_wire::Micros;
use tokio::sync::oneshot;

/// Fraction of one second's requests that a process may send in a burst right after it starts.
/// Prevents a process that restarts repeatedly from using a full burst after each restart.
const INITIAL_BURST_FRACTION: f64 = 0.4;
/// Fraction of this controller's share of the service limits that is used. The margin keeps the
/// controller below the limits as counted by the service.
const USED_LIMIT_FRACTION: f64 = 0.9;

/// State of the state service client.
pub(crate) struct StoreState {
    /// Writes that wait to be committed.
    pub commit_queue: CommitQueue,
    /// Reply channels of callers that wait for a linearizable read. The value `true` is sent when
    /// the read has completed.
    pub read_waiters: Vec<oneshot::Sender<bool>>,
    /// Budget for requests of all kinds.
    pub request_budget: TokenBucket,
}

impl StoreState {
    /// Creates the state of a process that started at `now` (steady clock). The service limits are
    /// divided by the number of partitions (`settings.partition_count`), so that the controller of
    /// each partition gets an equal share.
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let limit_fraction = 1.0 / f64::from(settings.partition_count);
        let requests = settings.state_rps * limit_fraction * USED_LIMIT_FRACTION;
        let writes = settings.state_write_rps * limit_fraction * USED_LIMIT_FRACTION;
        Self {
            commit_queue: CommitQueue::new(
                TokenBucket::new(writes, writes, now),
                settings.transaction_ops_max,
            ),
            read_waiters: Vec::new(),
            request_budget: TokenBucket::new(requests, requests, now)
                .with_fill_fraction(INITIAL_BURST_FRACTION),
        }
    }
}
