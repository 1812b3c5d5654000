//! Readiness, for the load balancer and for operators.

use super::response::{Unavailable, UserError, json};
use crate::shared::Shared;
use jasperhill_http::Response;

/// The body of a response that says that the controller is ready.
#[derive(serde::Serialize)]
struct ReadinessBody {
    /// The classes of connections in which a connection was refused just now.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    at_bound: Vec<&'static str>,
}

impl Shared {
    /// Whether the load balancer should send users here.
    pub(super) fn readiness(&self) -> Result<Response, UserError> {
        if !self.is_ready() {
            return Err(Unavailable::NotReady.into());
        }
        // An operator who asks sees what is short; the balancer looks at the status alone.
        let at_bound = self.at_bound();
        Ok(json(200, &ReadinessBody { at_bound }))
    }

    fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        // In an outage that everybody sees, leaving the balancer would only delay the return.
        state.cache.is_synced()
            && state.scheduling.specs.is_some()
            && !state.isolation.isolated
            && !self.defers_to_other_members(&state)
    }
}
