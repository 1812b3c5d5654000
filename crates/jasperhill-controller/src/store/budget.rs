//! Requests to the state service within this controller's share of its rate limit. The budget itself
//! is `StoreState::requests`.

use crate::{clock::to_duration, shared::Shared};
use jasperhill_http::{ClientError, Request, Response};
use jasperhill_wire::Micros;
use tokio::time::sleep;

/// The least rate that a kind of request is paced for, in requests a second, however small its share.
const PACED_RATE_MIN: f64 = 0.1;

impl Shared {
    /// Sends a request to the state service once the budget allows it; `limit` counts from then on.
    ///
    /// # Errors
    /// Those of the transport; they say whether the request may have been executed.
    pub(super) async fn call_store_within_budget(
        &self,
        request: Request,
        limit: Micros,
    ) -> Result<Response, ClientError> {
        loop {
            let now = self.now();
            let taken = self.state.borrow_mut().store.requests.take(1.0, now);
            match taken {
                Ok(()) => break,
                Err(wait) => sleep(to_duration(wait)).await,
            }
        }
        self.call(self.settings.state, request, limit).await
    }

    /// Counts a request that must not wait for the budget; later requests wait for it instead.
    pub(super) fn charge_request(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.store.requests.take_into_debt(1.0, now);
    }

    /// The least time between requests of a kind that may use `share` (0 to 1) of this controller's
    /// request rate.
    pub(super) fn request_interval(&self, share: f64) -> Micros {
        let own_rate = self.settings.state_rps / f64::from(self.settings.size);
        Micros::from_secs_f64(1.0 / (own_rate * share).max(PACED_RATE_MIN))
    }
}
