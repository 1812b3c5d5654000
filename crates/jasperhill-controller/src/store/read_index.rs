//! The linearizable read: proof that the watch cache shows at least what was true when a caller asked.
//! One request to the service serves all callers that wait for it. Owns `StoreState::read_waiters`.

use crate::{clock::to_duration, shared::Shared};
use jasperhill_wire::Micros;
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

/// The part of this controller's request rate that linearizable reads may use; the rest is for
/// watches, writes and leases.
const READ_SHARE: f64 = 0.35;
/// Callers that may wait at a time; beyond, reads fail at once. Bounds the memory of a long outage.
const WAITERS_MAX: usize = 5_000;
/// How long a caller waits: users wait five seconds for an answer, and a write may follow.
const READ_LIMIT: Duration = Duration::from_millis(1_500);
/// The pause after a request that failed, so that an unreachable service is not asked in a tight loop.
const FAILURE_PAUSE: Micros = Micros::from_millis(100);

impl Shared {
    /// Waits until the watch cache shows at least what was true when this was called. False if that
    /// can't be shown in time: the caller must not rely on the watch cache then.
    pub async fn read_index(&self) -> bool {
        let (reply, done) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            // Where others are answered and this controller is not, nobody is kept waiting.
            if !state.cache.is_synced()
                || state.store.read_waiters.len() > WAITERS_MAX
                || state.isolation.isolated
            {
                return false;
            }
            state.store.read_waiters.push(reply);
        }
        self.wake.read_index.notify_one();
        matches!(timeout(READ_LIMIT, done).await, Ok(Ok(true)))
    }

    /// Reads whenever somebody waits. Runs for as long as the controller lives.
    pub async fn read_index_loop(self: Rc<Self>) {
        loop {
            self.wake.read_index.notified().await;
            while let Some(pause) = self.read_for_waiters().await {
                sleep(to_duration(pause)).await;
            }
        }
    }

    /// One request for all who wait, and how long to pause after it; `None` if nobody waits. Those
    /// who come meanwhile share the next one.
    async fn read_for_waiters(&self) -> Option<Micros> {
        let (mut waiters, after) = {
            let mut state = self.state.borrow_mut();
            let waiters = std::mem::take(&mut state.store.read_waiters);
            (waiters, state.cache.revision)
        };
        // Those who have given up need no answer.
        waiters.retain(|waiter| !waiter.is_closed());
        if waiters.is_empty() {
            return None;
        }
        let started = self.now();
        let up_to_date =
            self.watch(after, Micros::ZERO).await && self.state.borrow().cache.is_synced();
        if !up_to_date {
            // Refused or unanswered: they wait for the next one while they can. A later read shows no
            // less.
            self.state.borrow_mut().store.read_waiters.extend(waiters);
            return Some(FAILURE_PAUSE);
        }
        for waiter in waiters {
            let _ = waiter.send(true);
        }
        Some(self.request_interval(READ_SHARE) - (self.now() - started))
    }
}
