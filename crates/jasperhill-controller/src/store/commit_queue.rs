//! The queue of group commit: which writes go into the next transaction, which have waited too long,
//! and which are tried again. Pure: no clock, no I/O; `super::committer` sends what it decides.
//!
//! Writes are ordered by priority, and by arrival within a priority. A transaction never holds two
//! writes of which one touches a key that the other compares or changes, so that each write succeeds
//! or fails as if it were alone.

use crate::token_bucket::TokenBucket;
use jasperhill_wire::{
    Micros, Revision,
    store::{Change, Guard},
};
use std::collections::BTreeSet;
use tokio::sync::oneshot;

#[cfg(test)]
mod tests;

/// Writes that may wait at a time; more are refused at once. Bounds memory while the service is
/// unreachable.
const QUEUE_MAX: usize = 2_000;
/// Bytes of one transaction, at most: below the service's limit on a request.
const TRANSACTION_BYTES_MAX: usize = 60 * 1024;
/// What a guard takes in a transaction besides its key, in bytes: the version and the JSON around it.
const GUARD_OVERHEAD_BYTES: usize = 40;
/// Guards of one transaction for each change that it may hold.
const GUARDS_PER_CHANGE: usize = 4;
/// The part of a burst that writes of the last priorities leave untouched: an acceptance that
/// comes behind a batch of partial results, or of host records, would wait for the limit to
/// recover.
const BACKGROUND_RESERVE: f64 = 0.5;
/// As [`BACKGROUND_RESERVE`], for results of finished jobs, which somebody may poll for.
const FINISH_RESERVE: f64 = 0.25;
/// A write that has waited for longer leaves nothing in reserve.
const RESERVE_EXPIRY: Micros = Micros::from_secs(8);
/// Changes that go together however little of the limit is left.
const ALWAYS_AFFORDABLE: usize = 4;
/// How near to a full burst counts as recovered, in changes.
const RECOVERED_MARGIN: f64 = 0.5;
/// How soon a queue that waits for the limit looks for more urgent writes.
const URGENT_RECHECK: Micros = Micros::from_millis(40);
/// Changes of one transaction after a refusal, at least: guards against transactions that shrink to
/// nothing.
const CHANGES_MIN: usize = 4;
/// The pause after a refusal for the rate; doubles while refusals go on.
pub(super) const RETRY_PAUSE: Micros = Micros::from_millis(150);
/// The longest pause after a refusal for the rate.
const RETRY_PAUSE_MAX: Micros = Micros::from_millis(1_200);

/// How urgent a write is; the smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WritePriority {
    /// Ownership of roles, and sessions.
    Role,
    /// Cancelled jobs.
    Cancel,
    /// Accepted jobs: a user waits.
    Accept,
    /// A finished job that others wait for.
    Release,
    /// A finished job.
    Finish,
    /// What may wait: partial results, host records.
    Background,
}

impl WritePriority {
    /// How many changes of the limit writes of this priority leave to those that can't wait.
    fn reserve(self, burst: f64) -> f64 {
        match self {
            Self::Background => burst * BACKGROUND_RESERVE,
            Self::Finish => burst * FINISH_RESERVE,
            Self::Role | Self::Cancel | Self::Accept | Self::Release => 0.0,
        }
    }
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// Executed, at this revision.
    Committed(Revision),
    /// Not executed: a guard did not hold, or its lease has expired.
    Conflict,
    /// Not executed, and never will be.
    NotExecuted,
    /// May have been executed, or may be later.
    Unknown,
}

/// A write that waits to be sent.
pub(super) struct PendingWrite {
    /// Before which others it goes.
    pub(super) priority: WritePriority,
    /// What it compares: all must hold.
    pub(super) guards: Vec<Guard>,
    /// What it changes, all or nothing.
    pub(super) changes: Vec<Change>,
    /// What it takes in a transaction, in bytes, nearly.
    pub(super) bytes: usize,
    /// When it was queued, by the steady clock.
    enqueued: Micros,
    /// When it is no longer to be sent, by the steady clock.
    deadline: Micros,
    /// Whoever waits for the outcome.
    reply: oneshot::Sender<WriteOutcome>,
    /// Goes in a transaction of its own: in one with others it was refused.
    unbatched: bool,
}

impl PendingWrite {
    /// A write queued at `now` that is no longer to be sent after `limit`.
    pub(super) fn new(
        priority: WritePriority,
        guards: Vec<Guard>,
        changes: Vec<Change>,
        limit: Micros,
        now: Micros,
        reply: oneshot::Sender<WriteOutcome>,
    ) -> Self {
        let change_bytes =
            serde_json::to_vec(&changes).map_or(TRANSACTION_BYTES_MAX, |encoded| encoded.len());
        let guard_bytes = |guard: &Guard| guard.key.len() + GUARD_OVERHEAD_BYTES;
        Self {
            bytes: change_bytes + guards.iter().map(guard_bytes).sum::<usize>(),
            priority,
            guards,
            changes,
            enqueued: now,
            deadline: now + limit,
            reply,
            unbatched: false,
        }
    }

    /// Tells whoever waits what became of the write. No error if nobody waits any more.
    pub(super) fn finish(self, outcome: WriteOutcome) {
        let _ = self.reply.send(outcome);
    }

    /// The key of the first change, for log lines.
    pub(super) fn first_key(&self) -> &str {
        self.changes.first().map_or("", Change::key)
    }

    /// How many changes of the limit it leaves untouched. Guards against writes that never get their
    /// turn under a steady flow of more urgent ones.
    fn reserve(&self, burst: f64, now: Micros) -> f64 {
        if now - self.enqueued > RESERVE_EXPIRY {
            0.0
        } else {
            self.priority.reserve(burst)
        }
    }

    /// The level of the limit at which it may be sent.
    fn required_level(&self, burst: f64, now: Micros) -> f64 {
        let reserve = self.reserve(burst, now);
        if reserve > 0.0 {
            (self.changes.len() as f64 + reserve).min(burst)
        } else {
            1.0
        }
    }
}

/// Writes that wait to be sent, and what the service's limit on changes leaves for them.
pub(crate) struct CommitQueue {
    /// By priority, and by arrival within one.
    writes: Vec<PendingWrite>,
    /// Changes that may be sent.
    bucket: TokenBucket,
    /// Changes of one transaction, at most: falls when the service refuses larger ones.
    changes_max: usize,
    /// How long to pause after the next refusal for the rate; grows while they go on.
    retry_pause: Micros,
}

/// What is to be done next.
pub(super) struct NextBatch {
    /// Writes whose deadline has passed: they are not sent.
    pub(super) expired: Vec<PendingWrite>,
    /// Writes that go into one transaction.
    pub(super) writes: Vec<PendingWrite>,
}

impl CommitQueue {
    /// An empty queue. The bucket counts changes; one transaction holds `changes_max` at most.
    pub(super) fn new(bucket: TokenBucket, changes_max: usize) -> Self {
        Self {
            writes: Vec::new(),
            bucket,
            changes_max,
            retry_pause: RETRY_PAUSE,
        }
    }

    /// Changes a second that may be written in the long run.
    pub(crate) fn rate(&self) -> f64 {
        self.bucket.rate()
    }

    /// Whether no write waits.
    pub(super) fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// Whether further writes are refused.
    pub(super) fn is_full(&self) -> bool {
        self.writes.len() >= QUEUE_MAX
    }

    /// Queues a write behind those of its priority.
    pub(super) fn push(&mut self, write: PendingWrite) {
        let priority = write.priority;
        let index = self
            .writes
            .partition_point(|other| other.priority <= priority);
        self.writes.insert(index, write);
    }

    /// How long to wait until the first write may be sent; `None` if it may be now. What can wait
    /// leaves some of the limit to what comes next and can't.
    pub(super) fn wait_for_budget(&mut self, now: Micros) -> Option<Micros> {
        let burst = self.bucket.burst();
        let first = self.writes.first();
        let required = first.map_or(1.0, |write| write.required_level(burst, now));
        let wait = self.bucket.wait_for(required, now)?;
        Some(wait.min(URGENT_RECHECK))
    }

    /// Takes out what has expired, and as many writes as fit one transaction and do not touch one
    /// another's keys.
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

    /// Counts changes that are sent, even if more than the limit leaves.
    pub(super) fn charge(&mut self, changes: usize, now: Micros) {
        self.bucket.take_into_debt(changes as f64, now);
    }

    /// Puts writes back that were not executed, before the others of their priorities.
    pub(super) fn requeue(&mut self, writes: Vec<PendingWrite>) {
        self.writes.splice(0..0, writes);
        self.writes.sort_by_key(|write| write.priority);
    }

    /// As `requeue`, each in a transaction of its own.
    pub(super) fn requeue_unbatched(&mut self, mut writes: Vec<PendingWrite>) {
        for write in &mut writes {
            write.unbatched = true;
        }
        self.requeue(writes);
    }

    /// A transaction of so many changes was refused: later ones are smaller. Returns the new limit.
    pub(super) fn shrink_transactions(&mut self, refused_changes: usize) -> usize {
        let largest = self.changes_max.max(CHANGES_MIN);
        self.changes_max = (refused_changes / 2).clamp(CHANGES_MIN, largest);
        self.changes_max
    }

    /// The service has executed a transaction: refusals for the rate are over.
    pub(super) fn reset_retry_pause(&mut self) {
        self.retry_pause = RETRY_PAUSE;
    }

    /// How long to pause now. Longer the next time if this one is for the rate.
    pub(super) fn next_retry_pause(&mut self, rate_limited: bool) -> Micros {
        let pause = self.retry_pause;
        if rate_limited {
            self.retry_pause = pause.scale(2.0).min(RETRY_PAUSE_MAX);
        }
        pause
    }
}

/// A transaction that is being put together.
#[derive(Default)]
struct BatchBuilder {
    /// Changes that the limit leaves now.
    level: f64,
    /// Changes that the limit leaves when it has recovered.
    burst: f64,
    /// Changes of one transaction, at most.
    changes_max: usize,
    /// The writes that go along.
    writes: Vec<PendingWrite>,
    /// Their changes.
    change_count: usize,
    /// Their guards.
    guard_count: usize,
    /// Their size, in bytes.
    bytes: usize,
    /// The keys that they change.
    changed_keys: BTreeSet<String>,
    /// The keys that they compare.
    guarded_keys: BTreeSet<String>,
    /// The first write has to wait for the limit.
    blocked: bool,
}

impl BatchBuilder {
    /// Whether a write may go along. To be asked in the order of the queue.
    fn admits(&mut self, write: &PendingWrite, now: Micros) -> bool {
        let reserve = write.reserve(self.burst, now);
        let affordable = self.affords(write.changes.len(), reserve);
        if reserve > 0.0 && (self.blocked || !affordable) {
            // The first one that has to wait is not overtaken by smaller ones.
            self.blocked |= self.writes.is_empty();
            return false;
        }
        self.writes.is_empty() || (affordable && self.fits(write) && self.is_independent(write))
    }

    /// Whether the limit leaves enough for so many more changes and the reserve.
    fn affords(&self, changes: usize, reserve: f64) -> bool {
        if reserve > 0.0 {
            // Guards against a write of several changes that waits for ever behind single
            // ones: it goes alone once the limit has recovered.
            let recovered = self.writes.is_empty() && self.level + RECOVERED_MARGIN >= self.burst;
            let required = self.change_count as f64 + changes as f64 + reserve;
            return required <= self.level || recovered;
        }
        let affordable = self.level.max(1.0) as usize;
        self.change_count + changes <= affordable.max(ALWAYS_AFFORDABLE)
            || (changes > ALWAYS_AFFORDABLE && self.change_count <= ALWAYS_AFFORDABLE)
    }

    /// Whether the transaction has room for another write.
    fn fits(&self, write: &PendingWrite) -> bool {
        !self.writes[0].unbatched
            && !write.unbatched
            && self.change_count + write.changes.len() <= self.changes_max
            && self.guard_count + write.guards.len() <= self.changes_max * GUARDS_PER_CHANGE
            && self.bytes + write.bytes <= TRANSACTION_BYTES_MAX
    }

    /// Whether neither the write nor the batch changes a key that the other compares or changes.
    fn is_independent(&self, write: &PendingWrite) -> bool {
        let untouched =
            |key: &str| !self.changed_keys.contains(key) && !self.guarded_keys.contains(key);
        write.changes.iter().all(|change| untouched(change.key()))
            && write
                .guards
                .iter()
                .all(|guard| !self.changed_keys.contains(&guard.key))
    }

    /// Adds a write that was admitted.
    fn add(&mut self, write: PendingWrite) {
        self.change_count += write.changes.len();
        self.guard_count += write.guards.len();
        self.bytes += write.bytes;
        let changed = write.changes.iter().map(|change| change.key().to_owned());
        self.changed_keys.extend(changed);
        let guarded = write.guards.iter().map(|guard| guard.key.clone());
        self.guarded_keys.extend(guarded);
        self.writes.push(write);
    }
}
