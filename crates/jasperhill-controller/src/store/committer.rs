//! Group commit of writes to the state service. Sends the batches selected by
//! [`super::commit_queue`] one transaction at a time and reports the outcome of each write to its
//! writer. This module contains only the I/O; the queue makes the decisions.

use super::{
    commit_queue::{NextBatch, PendingWrite, RETRY_DELAY_INITIAL, WriteOutcome, WritePriority},
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

/// Maximum time to wait for the response to a transaction.
const TRANSACTION_TIMEOUT: Micros = Micros::from_millis(2_500);
/// Part of the response text with which the service rejects a change that names an expired lease.
const LEASE_NOT_FOUND_TEXT: &str = "no such lease";

/// Outcome of a transaction, derived from the response of the service.
enum TransactionOutcome {
    /// The transaction was executed at this revision.
    Committed(Revision),
    /// The transaction was executed, but the revision could not be read from the response.
    CommittedAtUnknownRevision,
    /// The transaction was not executed because some of its guards did not hold.
    Conflict {
        /// Keys whose guards did not hold; empty if the response could not be parsed.
        failed: Vec<String>,
    },
    /// The transaction was not executed because the service considers it invalid (400).
    Rejected {
        /// Text of the response.
        reason: String,
    },
    /// The transaction was not executed because the rate limit of the service is exceeded (429).
    RateLimited,
    /// The transaction was not executed because the service is not ready (503).
    Unavailable,
    /// The transaction was not executed because no connection could be established.
    NotSent,
    /// The transaction may have been executed.
    Unknown,
}

impl TransactionOutcome {
    /// Classifies the response to a transaction, or the error if there was no response.
    fn from_response(result: Result<Response, ClientError>) -> Self {
        let response = match result {
            Ok(response) => response,
            Err(error) if error.is_unsent() => return Self::NotSent,
            Err(_) => return Self::Unknown,
        };
        let parse_body = || serde_json::from_slice::<TransactionResponse>(&response.body);
        match response.status {
            200 => parse_body().map_or(Self::CommittedAtUnknownRevision, |parsed| {
                Self::Committed(parsed.revision)
            }),
            409 => Self::Conflict {
                failed: parse_body().map(|parsed| parsed.failed).unwrap_or_default(),
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
    /// Queues an atomic write and waits for its outcome. The write is not sent any more once
    /// `send_timeout` has passed. After the write was sent, this function waits for the outcome
    /// without a time limit of its own.
    pub async fn write(
        &self,
        priority: WritePriority,
        guards: Vec<Guard>,
        changes: Vec<Change>,
        send_timeout: Micros,
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
                priority,
                guards,
                changes,
                send_timeout,
                now,
                reply,
            ));
        }
        self.wakeups.commit_queue.notify_one();
        outcome.await.unwrap_or(WriteOutcome::Unknown)
    }

    /// Commits queued writes. Runs for the lifetime of the controller.
    pub async fn commit_loop(self: Rc<Self>) {
        loop {
            if self.state.borrow().store.commit_queue.is_empty() {
                self.wakeups.commit_queue.notified().await;
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

    /// Returns how long the write budget and the request budget delay the next transaction. Returns
    /// `None` if the transaction may be sent now; a token has then been taken from the request
    /// budget.
    fn wait_before_commit(&self, now: Micros) -> Option<Micros> {
        let mut state = self.state.borrow_mut();
        let StoreState {
            request_budget: requests,
            commit_queue,
            ..
        } = &mut state.store;
        commit_queue
            .wait_for_budget(now)
            .or_else(|| requests.take(1.0, now).err())
    }

    /// Returns the writes for the next transaction. Expired writes end with
    /// [`WriteOutcome::NotExecuted`].
    fn next_batch(&self, now: Micros) -> Vec<PendingWrite> {
        let NextBatch { expired, writes } =
            self.state.borrow_mut().store.commit_queue.next_batch(now);
        finish_all(expired, WriteOutcome::NotExecuted);
        writes
    }

    /// Sends one transaction and handles its outcome.
    async fn commit(&self, batch: Vec<PendingWrite>) {
        match self.send_transaction(&batch).await {
            TransactionOutcome::Committed(revision) => {
                self.reset_retry_delay();
                for write in batch {
                    self.finish_committed(write, revision);
                }
            }
            TransactionOutcome::CommittedAtUnknownRevision => {
                self.reset_retry_delay();
                finish_all(batch, WriteOutcome::Unknown);
            }
            TransactionOutcome::Conflict { failed } => self.finish_conflicting(batch, &failed),
            TransactionOutcome::Rejected { reason } => self.handle_rejection(batch, &reason),
            TransactionOutcome::RateLimited => self.retry_later(batch, true).await,
            TransactionOutcome::Unavailable => self.retry_later(batch, false).await,
            TransactionOutcome::NotSent => {
                self.state.borrow_mut().store.commit_queue.requeue(batch);
                sleep(to_duration(RETRY_DELAY_INITIAL)).await;
            }
            TransactionOutcome::Unknown => finish_all(batch, WriteOutcome::Unknown),
        }
    }

    /// Sends the writes as one transaction and returns its outcome.
    async fn send_transaction(&self, batch: &[PendingWrite]) -> TransactionOutcome {
        let transaction = merge_writes(batch);
        let now = self.now();
        self.state
            .borrow_mut()
            .store
            .commit_queue
            .charge(transaction.changes.len(), now);
        let body = serde_json::to_vec(&transaction).unwrap_or_default();
        let request = Request::new(Method::Post, "/txn", body);
        let result = self
            .call(
                self.settings.state_service_address,
                request,
                TRANSACTION_TIMEOUT,
            )
            .await;
        TransactionOutcome::from_response(result)
    }

    /// Resets the retry delay after the service has executed a transaction, so that the next
    /// refusal starts with the shortest delay.
    fn reset_retry_delay(&self) {
        let mut state = self.state.borrow_mut();
        state.store.commit_queue.reset_retry_delay();
    }

    /// Ends an executed write. The watch cache is updated before the writer is notified, so that
    /// the writer can read its own write there.
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

    /// Ends the writes whose guards failed and requeues the other writes of the batch, which a
    /// failed guard of another write must not fail.
    fn finish_conflicting(&self, batch: Vec<PendingWrite>, failed_keys: &[String]) {
        let has_failed_guard = |write: &PendingWrite| {
            let mut guards = write.guards.iter();
            guards.any(|guard| failed_keys.contains(&guard.key))
        };
        let (conflicting, others): (Vec<PendingWrite>, Vec<PendingWrite>) =
            batch.into_iter().partition(has_failed_guard);
        let response_names_no_guard = conflicting.is_empty();
        finish_all(conflicting, WriteOutcome::Conflict);
        let queue = &mut self.state.borrow_mut().store.commit_queue;
        if response_names_no_guard {
            // The response names no guard of these writes. Sending each write alone shows which one
            // conflicts.
            queue.requeue_unbatched(others);
        } else {
            queue.requeue(others);
        }
    }

    /// Handles a transaction that the service rejected without executing it, either because a lease
    /// has expired or because the transaction exceeds the current limits of the service. Prevents a
    /// write that is only too large from being reported as a conflict, and from being sent again
    /// indefinitely.
    fn handle_rejection(&self, batch: Vec<PendingWrite>, reason: &str) {
        let changes: usize = batch.iter().map(|write| write.changes.len()).sum();
        if batch.len() > 1 {
            // Either one write is invalid or the combined transaction is too large. Each write is
            // retried alone, and later transactions are smaller.
            let queue = &mut self.state.borrow_mut().store.commit_queue;
            let changes_max = queue.shrink_transactions(changes);
            tracing::info!(changes, changes_max, reason, "transaction rejected");
            queue.requeue_unbatched(batch);
            return;
        }
        let outcome = if reason.contains(LEASE_NOT_FOUND_TEXT) {
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

    /// Requeues writes that the service did not execute for lack of capacity, and waits for the
    /// retry delay.
    async fn retry_later(&self, batch: Vec<PendingWrite>, rate_limited: bool) {
        let delay = {
            let queue = &mut self.state.borrow_mut().store.commit_queue;
            let delay = queue.next_retry_delay(rate_limited);
            let key = batch.first().map_or("", PendingWrite::first_key);
            tracing::debug!(rate_limited, key, "transaction refused, will be retried");
            queue.requeue(batch);
            delay
        };
        sleep(to_duration(delay)).await;
    }
}

/// Merges the writes into one transaction. A guard that several writes share is included once.
fn merge_writes(batch: &[PendingWrite]) -> Transaction {
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

/// Reports the same outcome to the writers of all these writes.
fn finish_all(writes: Vec<PendingWrite>, outcome: WriteOutcome) {
    for write in writes {
        write.finish(outcome);
    }
}
