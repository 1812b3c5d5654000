//! Requests to the cloud, within its rate limit. The result of each request is recorded as an
//! observation of the link to the cloud.

use crate::shared::{Shared, link_observation, to_duration};
use jasperhill_http::{Method, Request, Response};
use jasperhill_membership::reachability::LinkId;
use jasperhill_wire::Micros;
use tokio::time::sleep;

/// Timeout of a request to the cloud.
const REQUEST_TIMEOUT: Micros = Micros::from_secs(4);

impl Shared {
    /// Sends a request to the cloud as soon as the rate limit allows. Returns `None` if no response
    /// arrives in time.
    pub(super) async fn cloud_call(
        &self,
        method: Method,
        target: &str,
        body: Vec<u8>,
    ) -> Option<Response> {
        self.wait_for_cloud_limit().await;
        let request = Request::new(method, target, body);
        let response = self
            .call(self.settings.cloud_address, request, REQUEST_TIMEOUT)
            .await
            .ok();
        // Any response shows that the link is up: a 503 may mean that the cloud has no capacity,
        // and a 503 for an outage affects all controllers alike.
        self.observe_link(LinkId::Cloud, link_observation(response.is_some()));
        response
    }

    /// Waits until the rate limit of the cloud allows a request.
    async fn wait_for_cloud_limit(&self) {
        loop {
            let acquired = {
                let mut state = self.state.borrow_mut();
                state
                    .provisioning
                    .request_limiter
                    .take(1.0, self.clock.now())
            };
            match acquired {
                Ok(()) => return,
                Err(wait) => sleep(to_duration(wait)).await,
            }
        }
    }
}
