//! The readiness check for the load balancer and for operators.

use super::response::{Unavailable, UserError, json};
use crate::shared::Shared;
use jasperhill_http::Response;

/// Body of the response of a controller that is ready.
#[derive(serde::Serialize)]
struct ReadinessBody {
    /// The connection classes in which a connection was refused recently.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    at_bound: Vec<&'static str>,
}

impl Shared {
    /// Returns 200 if the load balancer should send users to this controller.
    ///
    /// # Errors
    /// [`Unavailable::NotReady`] if users should go to another controller.
    pub(super) fn readiness(&self) -> Result<Response, UserError> {
        if !self.is_ready() {
            return Err(Unavailable::NotReady.into());
        }
        // For operators only: the load balancer evaluates nothing but the status.
        let at_bound = self.classes_at_limit();
        Ok(json(200, &ReadinessBody { at_bound }))
    }

    /// Returns whether this controller is ready to serve users.
    fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        // An unreachable store alone does not make a controller unready: in an outage that affects
        // all controllers, leaving the load balancer would only delay the recovery.
        state.cache.is_synced()
            && state.scheduling.machine_types.is_some()
            && !state.isolation.is_isolated
            && !self.defers_to_other_members(&state)
    }
}
