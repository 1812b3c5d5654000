//! Requests to the cloud: within its limit, and each one evidence of the link to it.

use crate::shared::{Shared, observation_of, to_duration};
use jasperhill_http::{Method, Request, Response};
use jasperhill_membership::reachability::LinkId;
use jasperhill_wire::Micros;
use tokio::time::sleep;

/// How long an answer of the cloud is waited for.
const TIMEOUT: Micros = Micros::from_secs(4);

impl Shared {
    /// Sends a request to the cloud once its limit allows; `None` without an answer in time.
    pub(super) async fn cloud_call(
        &self,
        method: Method,
        target: &str,
        body: Vec<u8>,
    ) -> Option<Response> {
        self.wait_for_cloud_limit().await;
        let request = Request::new(method, target, body);
        let response = self.call(self.settings.cloud, request, TIMEOUT).await.ok();
        // A 503 for want of machines is an answer too; one that says trouble is everybody's.
        self.observe_link(LinkId::Cloud, observation_of(response.is_some()));
        response
    }

    async fn wait_for_cloud_limit(&self) {
        loop {
            let taken = {
                let mut state = self.state.borrow_mut();
                state.provisioning.requests.take(1.0, self.clock.now())
            };
            match taken {
                Ok(()) => return,
                Err(wait) => sleep(to_duration(wait)).await,
            }
        }
    }
}
