//! Group commit: sends what the commit queue has batched, one transaction at a time, and tells each
//! writer what became of its write. The decisions are those of [`super::commit_queue`]; here is only
//! the I/O around them.

use super::{
    commit_queue::{NextBatch, PendingWrite, RETRY_PAUSE, WriteOutcome, WritePriority},
    state::StoreState,
};
use crate::{
    clock::to_duration,
    shared::Shared,
    watch_cache::{self, OwnChange},
};
use jasperhill_http::{ClientError, Method, Request, Response};
use jasperhill_wire::{
    Micros, Revision,
    store::{Change, Guard, Transaction, TransactionResponse},
};
use std::rc::Rc;
use tokio::{sync::oneshot, time::sleep};

#[cfg(test)]
mod tests;

/// How long the answer to a transaction may take.
const TRANSACTION_LIMIT: Micros = Micros::from_millis(2_500);
/// What the service says when a change names a lease that has expired.
const LEASE_GONE: &str = "no such lease";

/// What the service made of a transaction.
enum TransactionOutcome {
    /// Executed, at this revision.
    Committed(Revision),
    /// Executed, but the answer does not tell the revision.
    CommittedUnreadable,
    /// Not executed: the guards on these keys did not hold.
    Conflict {
        /// The keys.
        failed: Vec<String>,
    },
    /// Not executed: the service takes no such transaction, and says why.
    Rejected {
        /// The text of the answer.
        reason: String,
    },
    /// Not executed: the service is over its rate (429).
    RateLimited,
    /// Not executed: the service is not ready (503).
    Unavailable,
    /// Not executed: no connection came about.
    NotSent,
    /// May have been executed.
    Unknown,
}

impl TransactionOutcome {
    /// What an answer, or its absence, means.
    fn of(answer: Result<Response, ClientError>) -> Self {
        let response = match answer {
            Ok(response) => response,
            Err(error) if error.is_unsent() => return Self::NotSent,
            Err(_) => return Self::Unknown,
        };
        let body = || serde_json::from_slice::<TransactionResponse>(&response.body);
        match response.status {
            200 => body().map_or(Self::CommittedUnreadable, |b| Self::Committed(b.revision)),
            409 => Self::Conflict {
                failed: body().map(|b| b.failed).unwrap_or_default(),
            },
            400 => Self::Rejected {
                reason: String::from_utf8_lossy(&response.body).into_owned(),
            },
            429 => Self::RateLimited,
            503 => Self::Unavailable,
            _ => Self::Unknown,
        }
    }
}

impl Shared {
    /// Queues one atomic write and waits for its outcome. It is no longer sent once `limit` has
    /// passed; after it was sent, the outcome is waited for however long that takes.
    pub async fn write(
        &self,
        priority: WritePriority,
        guards: Vec<Guard>,
        changes: Vec<Change>,
        limit: Micros,
    ) -> WriteOutcome {
        let (reply, outcome) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            let queue = &mut state.store.commit_queue;
            if queue.is_full() {
                return WriteOutcome::NotExecuted;
            }
            let now = self.now();
            queue.push(PendingWrite::new(
                priority, guards, changes, limit, now, reply,
            ));
        }
        self.wake.commit_queue.notify_one();
        outcome.await.unwrap_or(WriteOutcome::Unknown)
    }

    /// Commits what is queued. Runs for as long as the controller lives.
    pub async fn commit_loop(self: Rc<Self>) {
        loop {
            if self.state.borrow().store.commit_queue.is_empty() {
                self.wake.commit_queue.notified().await;
            }
            let now = self.now();
            if let Some(wait) = self.wait_before_commit(now) {
                sleep(to_duration(wait)).await;
                continue;
            }
            let batch = self.next_batch(now);
            if !batch.is_empty() {
                self.commit(batch).await;
            }
        }
    }

    /// How long the limits on changes and on requests make the next transaction wait; `None` if it may
    /// go now, with its request taken from the budget.
    fn wait_before_commit(&self, now: Micros) -> Option<Micros> {
        let mut state = self.state.borrow_mut();
        let StoreState {
            requests,
            commit_queue,
            ..
        } = &mut state.store;
        commit_queue
            .wait_for_budget(now)
            .or_else(|| requests.take(1.0, now).err())
    }

    /// The writes of the next transaction. Those that have waited too long are told so.
    fn next_batch(&self, now: Micros) -> Vec<PendingWrite> {
        let NextBatch { expired, writes } =
            self.state.borrow_mut().store.commit_queue.next_batch(now);
        finish_all(expired, WriteOutcome::NotExecuted);
        writes
    }

    /// Sends one transaction and acts on its outcome.
    async fn commit(&self, batch: Vec<PendingWrite>) {
        match self.send_transaction(&batch).await {
            TransactionOutcome::Committed(revision) => {
                self.reset_retry_pause();
                for write in batch {
                    self.finish_committed(write, revision);
                }
            }
            TransactionOutcome::CommittedUnreadable => {
                self.reset_retry_pause();
                finish_all(batch, WriteOutcome::Unknown);
            }
            TransactionOutcome::Conflict { failed } => self.finish_conflicting(batch, &failed),
            TransactionOutcome::Rejected { reason } => self.handle_rejection(batch, &reason),
            TransactionOutcome::RateLimited => self.retry_later(batch, true).await,
            TransactionOutcome::Unavailable => self.retry_later(batch, false).await,
            TransactionOutcome::NotSent => {
                self.state.borrow_mut().store.commit_queue.requeue(batch);
                sleep(to_duration(RETRY_PAUSE)).await;
            }
            TransactionOutcome::Unknown => finish_all(batch, WriteOutcome::Unknown),
        }
    }

    /// Sends the writes as one transaction.
    async fn send_transaction(&self, batch: &[PendingWrite]) -> TransactionOutcome {
        let transaction = merge(batch);
        let now = self.now();
        self.state
            .borrow_mut()
            .store
            .commit_queue
            .charge(transaction.changes.len(), now);
        let body = serde_json::to_vec(&transaction).unwrap_or_default();
        let request = Request::new(Method::Post, "/txn", body);
        let answer = self
            .call(self.settings.state, request, TRANSACTION_LIMIT)
            .await;
        TransactionOutcome::of(answer)
    }

    /// The service executes transactions: the next refusal starts with the shortest pause.
    fn reset_retry_pause(&self) {
        let mut state = self.state.borrow_mut();
        state.store.commit_queue.reset_retry_pause();
    }

    /// Shows an executed write in the watch cache before its writer goes on: the writer finds there
    /// what it wrote.
    fn finish_committed(&self, mut write: PendingWrite, revision: Revision) {
        let changes = std::mem::take(&mut write.changes);
        let changes = changes.into_iter().map(|change| match change {
            Change::Put { key, value, .. } => OwnChange {
                key,
                record: Some(value),
            },
            Change::Delete { key } => OwnChange { key, record: None },
        });
        self.apply_to_cache(watch_cache::Input::OwnWrite {
            changes: changes.collect(),
            version: revision,
        });
        write.finish(WriteOutcome::Committed(revision));
    }

    /// Ends the writes whose guards failed; the others are sent again, since one failed guard does not
    /// fail them.
    fn finish_conflicting(&self, batch: Vec<PendingWrite>, failed: &[String]) {
        let has_failed = |write: &PendingWrite| {
            let mut guards = write.guards.iter();
            guards.any(|guard| failed.contains(&guard.key))
        };
        let (conflicting, others): (Vec<PendingWrite>, Vec<PendingWrite>) =
            batch.into_iter().partition(has_failed);
        let nobody_failed = conflicting.is_empty();
        finish_all(conflicting, WriteOutcome::Conflict);
        let queue = &mut self.state.borrow_mut().store.commit_queue;
        if nobody_failed {
            // The answer names none of their guards: each alone shows which one it is.
            queue.requeue_unbatched(others);
        } else {
            queue.requeue(others);
        }
    }

    /// The service takes no such transaction: a lease that has expired, or more than it
    /// takes now. Nothing was executed. Guards against taking a write that is merely too large
    /// for a conflict, and against sending it again and again.
    fn handle_rejection(&self, batch: Vec<PendingWrite>, reason: &str) {
        let changes: usize = batch.iter().map(|write| write.changes.len()).sum();
        if batch.len() > 1 {
            // It may be one of them, or all together: each alone, and smaller ones from now on.
            let queue = &mut self.state.borrow_mut().store.commit_queue;
            let changes_max = queue.shrink_transactions(changes);
            tracing::info!(changes, changes_max, reason, "transaction rejected");
            queue.requeue_unbatched(batch);
            return;
        }
        let outcome = if reason.contains(LEASE_GONE) {
            WriteOutcome::Conflict
        } else {
            WriteOutcome::NotExecuted
        };
        for write in batch {
            let (key, bytes) = (write.first_key(), write.bytes);
            tracing::warn!(key, changes, bytes, reason, "write rejected");
            write.finish(outcome);
        }
    }

    /// Queues writes again that the service has not executed for want of capacity, and pauses.
    async fn retry_later(&self, batch: Vec<PendingWrite>, rate_limited: bool) {
        let pause = {
            let queue = &mut self.state.borrow_mut().store.commit_queue;
            let pause = queue.next_retry_pause(rate_limited);
            let key = batch.first().map_or("", PendingWrite::first_key);
            tracing::debug!(rate_limited, key, "transaction throttled, to be retried");
            queue.requeue(batch);
            pause
        };
        sleep(to_duration(pause)).await;
    }
}

/// One transaction of all these writes. Guards that several writes share are sent once.
fn merge(batch: &[PendingWrite]) -> Transaction {
    let mut guards: Vec<Guard> = Vec::new();
    for guard in batch.iter().flat_map(|write| &write.guards) {
        if !guards.contains(guard) {
            guards.push(guard.clone());
        }
    }
    let changes = batch.iter().flat_map(|write| write.changes.clone());
    Transaction {
        guards,
        changes: changes.collect(),
    }
}

/// Tells the writers of all these writes the same outcome.
fn finish_all(writes: Vec<PendingWrite>, outcome: WriteOutcome) {
    for write in writes {
        write.finish(outcome);
    }
}
