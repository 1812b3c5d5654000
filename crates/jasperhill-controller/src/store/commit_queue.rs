//! Queue for group commit. Selects the writes that go into the next transaction, drops writes whose
//! deadline has passed, and puts back writes that must be retried. Contains no clock and no I/O;
//! [`super::committer`] sends the transactions.
//!
//! Writes are ordered by priority, and by arrival within a priority. Two writes conflict if one
//! changes a key that the other compares or changes. A transaction never contains conflicting
//! writes, so each write succeeds or fails independently of the others in the batch.

use crate::token_bucket::TokenBucket;
use jasperhill_wire::{
    Micros, Revision,
    store::{Change, Guard},
};
use std::collections::BTreeSet;
use tokio::sync::oneshot;

#[cfg(test)]
mod tests;

/// Maximum number of queued writes. Further writes are rejected at once, which bounds memory use
/// while the state service is unreachable.
const QUEUED_WRITES_MAX: usize = 2_000;
/// Maximum size of a transaction in bytes; lower than the request size limit of the state service.
const TRANSACTION_BYTES_MAX: usize = 60 * 1024;
/// Encoded size of a guard in a transaction without its key, in bytes: the version and the
/// surrounding JSON.
const GUARD_OVERHEAD_BYTES: usize = 40;
/// Maximum number of guards in a transaction, as a multiple of the maximum number of changes.
const GUARDS_PER_CHANGE: usize = 4;
/// Fraction of the burst that background writes must leave unused. Without this reserve, a job
/// acceptance that follows a batch of partial results or host records would have to wait for the
/// write budget to refill.
const BACKGROUND_RESERVE_FRACTION: f64 = 0.5;
/// Fraction of the burst that results of finished jobs must leave unused, for the same reason as
/// [`BACKGROUND_RESERVE_FRACTION`]. This fraction is smaller because a user may be polling for the
/// result.
const FINISH_RESERVE_FRACTION: f64 = 0.25;
/// Queueing time after which a write no longer has to leave a reserve in the write budget.
const RESERVE_EXPIRY: Micros = Micros::from_secs(8);
/// Number of changes that a transaction may contain even if the write budget has fewer tokens left.
const UNBUDGETED_CHANGES_MAX: usize = 4;
/// Tolerance, in changes, within which the write budget counts as full.
const FULL_BUDGET_TOLERANCE: f64 = 0.5;
/// Maximum time that the queue waits for the write budget before it checks again for more urgent
/// writes.
const URGENT_RECHECK_INTERVAL: Micros = Micros::from_millis(40);
/// Minimum for the number of changes per transaction after a rejection. Prevents repeated
/// rejections from reducing the transaction size to zero.
const TRANSACTION_CHANGES_MIN: usize = 4;
/// Delay before a transaction that was not executed is retried. After a refusal because of the rate
/// limit (429), the delay for the next refusal is doubled, up to [`RETRY_DELAY_MAX`].
pub(super) const RETRY_DELAY_INITIAL: Micros = Micros::from_millis(150);
/// Maximum delay before a transaction that was not executed is retried.
const RETRY_DELAY_MAX: Micros = Micros::from_millis(1_200);

/// Priority of a write. Variants are ordered from the most urgent, which is sent first, to the
/// least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WritePriority {
    /// Role ownership records and session records.
    Role,
    /// Cancellation of a job.
    Cancel,
    /// Acceptance of a job, for which a user is waiting.
    Accept,
    /// Result of a finished job that other jobs depend on.
    FinishWithDependents,
    /// Result of a finished job that no other job depends on, or an update of similar urgency, such
    /// as the registration of a host.
    Finish,
    /// Deferrable writes, such as partial results and host records.
    Background,
}

impl WritePriority {
    /// Returns how many tokens of the write budget a write of this priority must leave for more
    /// urgent writes.
    fn reserve(self, burst: f64) -> f64 {
        match self {
            Self::Background => burst * BACKGROUND_RESERVE_FRACTION,
            Self::Finish => burst * FINISH_RESERVE_FRACTION,
            Self::Role | Self::Cancel | Self::Accept | Self::FinishWithDependents => 0.0,
        }
    }
}

/// Final outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write was executed at this revision.
    Committed(Revision),
    /// The write was not executed because a guard did not hold or its lease has expired.
    Conflict,
    /// The write was not executed and will not be executed later.
    NotExecuted,
    /// The write may have been executed, or may still be executed later.
    Unknown,
}

/// Write that is waiting to be sent.
pub(super) struct PendingWrite {
    /// Priority relative to other queued writes.
    pub(super) priority: WritePriority,
    /// Guards that must all hold for the write to be executed.
    pub(super) guards: Vec<Guard>,
    /// Changes that are applied atomically.
    pub(super) changes: Vec<Change>,
    /// Approximate encoded size of the guards and changes in a transaction, in bytes.
    pub(super) bytes: usize,
    /// Steady-clock time at which the write was first queued.
    enqueued: Micros,
    /// Steady-clock time after which the write must not be sent.
    deadline: Micros,
    /// Channel that delivers the outcome to the writer.
    reply: oneshot::Sender<WriteOutcome>,
    /// Whether the write must be sent in a transaction of its own because a transaction that
    /// combined it with other writes was rejected.
    unbatched: bool,
}

impl PendingWrite {
    /// Creates a write queued at `now` that must not be sent later than `send_timeout` after that.
    pub(super) fn new(
        priority: WritePriority,
        guards: Vec<Guard>,
        changes: Vec<Change>,
        send_timeout: Micros,
        now: Micros,
        reply: oneshot::Sender<WriteOutcome>,
    ) -> Self {
        let change_bytes =
            serde_json::to_vec(&changes).map_or(TRANSACTION_BYTES_MAX, |encoded| encoded.len());
        let encoded_guard_bytes = |guard: &Guard| guard.key.len() + GUARD_OVERHEAD_BYTES;
        Self {
            bytes: change_bytes + guards.iter().map(encoded_guard_bytes).sum::<usize>(),
            priority,
            guards,
            changes,
            enqueued: now,
            deadline: now + send_timeout,
            reply,
            unbatched: false,
        }
    }

    /// Sends the outcome of the write to its writer. Does nothing if the writer no longer waits.
    pub(super) fn finish(self, outcome: WriteOutcome) {
        let _ = self.reply.send(outcome);
    }

    /// Returns the key of the first change, for use in log lines.
    pub(super) fn first_key(&self) -> &str {
        self.changes.first().map_or("", Change::key)
    }

    /// Returns how many tokens of the write budget this write must leave unused. The reserve drops
    /// to zero after [`RESERVE_EXPIRY`], so that a steady flow of more urgent writes cannot starve
    /// this write.
    fn reserve(&self, burst: f64, now: Micros) -> f64 {
        if now - self.enqueued > RESERVE_EXPIRY {
            0.0
        } else {
            self.priority.reserve(burst)
        }
    }

    /// Returns the number of tokens that the write budget must hold before this write may be sent.
    fn required_tokens(&self, burst: f64, now: Micros) -> f64 {
        let reserve = self.reserve(burst, now);
        if reserve > 0.0 {
            (self.changes.len() as f64 + reserve).min(burst)
        } else {
            1.0
        }
    }
}

/// Queue of writes that wait to be sent, with the budget for the write rate limit of the state
/// service.
pub(crate) struct CommitQueue {
    /// Queued writes, ordered by priority and by arrival within a priority.
    writes: Vec<PendingWrite>,
    /// Write budget, counted in changes.
    bucket: TokenBucket,
    /// Maximum number of changes per transaction. Reduced when the service rejects a larger
    /// transaction.
    changes_max: usize,
    /// Delay before the next retry. Grows while the service keeps refusing transactions because of
    /// its rate limit.
    retry_delay: Micros,
}

/// Result of [`CommitQueue::next_batch`].
pub(super) struct NextBatch {
    /// Writes whose deadline has passed and that must not be sent.
    pub(super) expired: Vec<PendingWrite>,
    /// Writes to send in one transaction.
    pub(super) writes: Vec<PendingWrite>,
}

impl CommitQueue {
    /// Creates an empty queue. `bucket` counts changes, and a transaction contains at most
    /// `changes_max` changes.
    pub(super) fn new(bucket: TokenBucket, changes_max: usize) -> Self {
        Self {
            writes: Vec::new(),
            bucket,
            changes_max,
            retry_delay: RETRY_DELAY_INITIAL,
        }
    }

    /// Returns the sustained write rate, in changes per second.
    pub(crate) fn rate(&self) -> f64 {
        self.bucket.rate()
    }

    /// Returns whether no write is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// Returns whether the queue is full, so that further writes must be rejected.
    pub(super) fn is_full(&self) -> bool {
        self.writes.len() >= QUEUED_WRITES_MAX
    }

    /// Inserts a write behind all queued writes of the same or higher priority.
    pub(super) fn push(&mut self, write: PendingWrite) {
        let priority = write.priority;
        let index = self
            .writes
            .partition_point(|other| other.priority <= priority);
        self.writes.insert(index, write);
    }

    /// Returns how long to wait until the write budget allows the first queued write, at most
    /// [`URGENT_RECHECK_INTERVAL`]. Returns `None` if the write may be sent now. Deferrable writes
    /// wait longer, because they must leave a reserve for urgent writes that may follow.
    pub(super) fn wait_for_budget(&mut self, now: Micros) -> Option<Micros> {
        let burst = self.bucket.burst();
        let first = self.writes.first();
        let required_tokens = first.map_or(1.0, |write| write.required_tokens(burst, now));
        let wait = self.bucket.time_until_available(required_tokens, now)?;
        Some(wait.min(URGENT_RECHECK_INTERVAL))
    }

    /// Removes the expired writes from the queue, together with as many writes as fit into one
    /// transaction without conflicting keys.
    pub(super) fn next_batch(&mut self, now: Micros) -> NextBatch {
        let (expired, waiting): (Vec<PendingWrite>, Vec<PendingWrite>) =
            std::mem::take(&mut self.writes)
                .into_iter()
                .partition(|write| now >= write.deadline);
        let mut batch = BatchBuilder {
            level: self.bucket.level(now),
            burst: self.bucket.burst(),
            changes_max: self.changes_max,
            ..BatchBuilder::default()
        };
        for write in waiting {
            if batch.admits(&write, now) {
                batch.add(write);
            } else {
                self.writes.push(write);
            }
        }
        NextBatch {
            expired,
            writes: batch.writes,
        }
    }

    /// Charges the write budget for changes that are being sent, even if this leaves the budget in
    /// debt.
    pub(super) fn charge(&mut self, changes: usize, now: Micros) {
        self.bucket.take_into_debt(changes as f64, now);
    }

    /// Puts writes that were not executed back into the queue, ahead of other writes of the same
    /// priority.
    pub(super) fn requeue(&mut self, writes: Vec<PendingWrite>) {
        self.writes.splice(0..0, writes);
        self.writes.sort_by_key(|write| write.priority);
    }

    /// Puts writes back as [`Self::requeue`] does, and marks each of them to be sent in a
    /// transaction of its own.
    pub(super) fn requeue_unbatched(&mut self, mut writes: Vec<PendingWrite>) {
        for write in &mut writes {
            write.unbatched = true;
        }
        self.requeue(writes);
    }

    /// Halves the maximum transaction size after a transaction with `rejected_changes` changes was
    /// rejected, and returns the new maximum.
    pub(super) fn shrink_transactions(&mut self, rejected_changes: usize) -> usize {
        let current_max = self.changes_max.max(TRANSACTION_CHANGES_MIN);
        self.changes_max = (rejected_changes / 2).clamp(TRANSACTION_CHANGES_MIN, current_max);
        self.changes_max
    }

    /// Resets the retry delay to its initial value after the service has executed a transaction.
    pub(super) fn reset_retry_delay(&mut self) {
        self.retry_delay = RETRY_DELAY_INITIAL;
    }

    /// Returns the delay before the next retry. Doubles the following delay if `rate_limited`.
    pub(super) fn next_retry_delay(&mut self, rate_limited: bool) -> Micros {
        let delay = self.retry_delay;
        if rate_limited {
            self.retry_delay = delay.scale(2.0).min(RETRY_DELAY_MAX);
        }
        delay
    }
}

/// Transaction that is being assembled from queued writes.
#[derive(Default)]
struct BatchBuilder {
    /// Tokens that the write budget holds now, in changes.
    level: f64,
    /// Tokens that the write budget holds when it is full, in changes.
    burst: f64,
    /// Maximum number of changes in the transaction.
    changes_max: usize,
    /// Writes selected for the transaction so far.
    writes: Vec<PendingWrite>,
    /// Number of changes in the selected writes.
    change_count: usize,
    /// Number of guards in the selected writes.
    guard_count: usize,
    /// Approximate encoded size of the selected writes, in bytes.
    bytes: usize,
    /// Keys that the selected writes change.
    changed_keys: BTreeSet<String>,
    /// Keys that the selected writes compare.
    guarded_keys: BTreeSet<String>,
    /// Whether the first deferrable write has to wait for the write budget, so that later
    /// deferrable writes must wait too.
    is_blocked: bool,
}

impl BatchBuilder {
    /// Returns whether a write may be added to the transaction. Must be called for the writes in
    /// queue order.
    fn admits(&mut self, write: &PendingWrite, now: Micros) -> bool {
        let reserve = write.reserve(self.burst, now);
        let fits_budget = self.fits_budget(write.changes.len(), reserve);
        if reserve > 0.0 && (self.is_blocked || !fits_budget) {
            // Deferrable writes that need fewer tokens must not overtake the first deferrable write
            // that has to wait.
            self.is_blocked |= self.writes.is_empty();
            return false;
        }
        self.writes.is_empty()
            || (fits_budget && self.fits_size_limits(write) && self.is_independent(write))
    }

    /// Returns whether the write budget covers this many additional changes and leaves `reserve`
    /// tokens unused. If `reserve` is zero, a transaction may contain [`UNBUDGETED_CHANGES_MAX`]
    /// changes whatever the budget holds, and a larger write may join a transaction of that size or
    /// less.
    fn fits_budget(&self, changes: usize, reserve: f64) -> bool {
        if reserve > 0.0 {
            // A write with several changes is sent alone once the budget is full. Otherwise such a
            // write could wait forever behind writes with a single change.
            let is_alone_at_full_budget =
                self.writes.is_empty() && self.level + FULL_BUDGET_TOLERANCE >= self.burst;
            let required_tokens = self.change_count as f64 + changes as f64 + reserve;
            return required_tokens <= self.level || is_alone_at_full_budget;
        }
        let available_tokens = self.level.max(1.0) as usize;
        self.change_count + changes <= available_tokens.max(UNBUDGETED_CHANGES_MAX)
            || (changes > UNBUDGETED_CHANGES_MAX && self.change_count <= UNBUDGETED_CHANGES_MAX)
    }

    /// Returns whether a further write fits the size limits of the transaction. Returns false if
    /// this write or the first write of the transaction must be sent in a transaction of its own.
    fn fits_size_limits(&self, write: &PendingWrite) -> bool {
        !self.writes[0].unbatched
            && !write.unbatched
            && self.change_count + write.changes.len() <= self.changes_max
            && self.guard_count + write.guards.len() <= self.changes_max * GUARDS_PER_CHANGE
            && self.bytes + write.bytes <= TRANSACTION_BYTES_MAX
    }

    /// Returns whether the write and the transaction are free of conflicts, that is, neither
    /// changes a key that the other compares or changes.
    fn is_independent(&self, write: &PendingWrite) -> bool {
        let is_unused =
            |key: &str| !self.changed_keys.contains(key) && !self.guarded_keys.contains(key);
        write.changes.iter().all(|change| is_unused(change.key()))
            && write
                .guards
                .iter()
                .all(|guard| !self.changed_keys.contains(&guard.key))
    }

    /// Adds a write for which [`Self::admits`] returned true.
    fn add(&mut self, write: PendingWrite) {
        self.change_count += write.changes.len();
        self.guard_count += write.guards.len();
        self.bytes += write.bytes;
        let changed_keys = write.changes.iter().map(|change| change.key().to_owned());
        self.changed_keys.extend(changed_keys);
        let guarded_keys = write.guards.iter().map(|guard| guard.key.clone());
        self.guarded_keys.extend(guarded_keys);
        self.writes.push(write);
    }
}
