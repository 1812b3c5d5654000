//! Rate limiting of requests to the state service. Keeps this controller within its share of the
//! service's request limit; the token bucket itself is `StoreState::request_budget`.

use crate::{clock::to_duration, shared::Shared};
use jasperhill_http::{ClientError, Request, Response};
use jasperhill_wire::Micros;
use tokio::time::sleep;

/// Lower bound, in requests per second, of the rate used to compute the interval between requests
/// of one kind, however small the share of that kind.
const PACED_REQUESTS_PER_SECOND_MIN: f64 = 0.1;

impl Shared {
    /// Waits until the request budget has a token, then sends a request to the state service. The
    /// `timeout` starts when the request is sent, not when the wait for the budget begins.
    ///
    /// # Errors
    /// Returns the error of the transport, which tells whether the request may have been executed.
    pub(super) async fn call_store_within_budget(
        &self,
        request: Request,
        timeout: Micros,
    ) -> Result<Response, ClientError> {
        loop {
            let now = self.now();
            let take_result = self.state.borrow_mut().store.request_budget.take(1.0, now);
            match take_result {
                Ok(()) => break,
                Err(wait) => sleep(to_duration(wait)).await,
            }
        }
        self.call(self.settings.state_service_address, request, timeout)
            .await
    }

    /// Charges a request that must not wait for the request budget. The budget may go into debt,
    /// which delays later requests instead.
    pub(super) fn charge_request(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.store.request_budget.take_into_debt(1.0, now);
    }

    /// Returns the minimum interval between requests of a kind that may use the fraction `share` (0
    /// to 1) of this controller's request rate.
    pub(super) fn request_interval(&self, share: f64) -> Micros {
        let requests_per_second =
            self.settings.state_rps / f64::from(self.settings.partition_count);
        Micros::from_secs_f64(
            1.0 / (requests_per_second * share).max(PACED_REQUESTS_PER_SECOND_MIN),
        )
    }
}
