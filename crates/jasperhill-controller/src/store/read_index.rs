//! Linearizable reads. A read proves that the watch cache contains at least all changes committed
//! before the read was requested. One request to the state service answers all callers that are
//! waiting. The waiting callers are kept in `StoreState::read_waiters`.

use crate::{clock::to_duration, shared::Shared};
use jasperhill_wire::Micros;
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

/// Fraction of this controller's request rate that linearizable reads may use. The rest is left for
/// watches, writes and leases.
const READ_RATE_FRACTION: f64 = 0.35;
/// Limit for the number of waiting callers. Reads beyond the limit fail at once, which bounds
/// memory use during a long outage.
const READ_WAITERS_MAX: usize = 5_000;
/// Maximum time that a caller waits for a linearizable read. Users wait five seconds for a
/// response, and a write may follow the read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failed request. Prevents a busy loop of requests while the service is unreachable.
const RETRY_DELAY: Micros = Micros::from_millis(100);

impl Shared {
    /// Waits until the watch cache contains all changes committed before this call. Returns false
    /// if this cannot be established in time; the caller must not rely on the watch cache in that
    /// case.
    pub async fn linearizable_read(&self) -> bool {
        let (reply, completed) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            // While the state service responds to other controllers but not to this one, callers
            // fail at once instead of waiting.
            if !state.cache.is_synced()
                || state.store.read_waiters.len() > READ_WAITERS_MAX
                || state.isolation.is_isolated
            {
                return false;
            }
            state.store.read_waiters.push(reply);
        }
        self.wakeups.read_index.notify_one();
        matches!(timeout(READ_TIMEOUT, completed).await, Ok(Ok(true)))
    }

    /// Performs a linearizable read whenever callers are waiting. Runs for the lifetime of the
    /// controller.
    pub async fn read_index_loop(self: Rc<Self>) {
        loop {
            self.wakeups.read_index.notified().await;
            while let Some(delay) = self.serve_read_waiters().await {
                sleep(to_duration(delay)).await;
            }
        }
    }

    /// Performs one read on behalf of all waiting callers and returns the delay until the next
    /// read. Returns `None` if no caller is waiting. Callers that arrive during the read are served
    /// by the next one.
    async fn serve_read_waiters(&self) -> Option<Micros> {
        let (mut waiters, known_revision) = {
            let mut state = self.state.borrow_mut();
            let waiters = std::mem::take(&mut state.store.read_waiters);
            (waiters, state.cache.revision)
        };
        // A caller whose wait has timed out has dropped its receiver and needs no reply.
        waiters.retain(|waiter| !waiter.is_closed());
        if waiters.is_empty() {
            return None;
        }
        let started_at = self.now();
        let is_up_to_date =
            self.watch(known_revision, Micros::ZERO).await && self.state.borrow().cache.is_synced();
        if !is_up_to_date {
            // The request failed, or the watch cache is not complete. The callers wait for the next
            // read until they time out; a later read covers at least the same changes.
            self.state.borrow_mut().store.read_waiters.extend(waiters);
            return Some(RETRY_DELAY);
        }
        for waiter in waiters {
            let _ = waiter.send(true);
        }
        Some(self.request_interval(READ_RATE_FRACTION) - (self.now() - started_at))
    }
}
