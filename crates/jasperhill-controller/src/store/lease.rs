//! Client calls that grant, renew and revoke leases of the state service. This module holds no
//! state; [`super::session`] is the only user of leases.

use crate::shared::Shared;
use jasperhill_http::{Method, Request};
use jasperhill_wire::{Micros, store::LeaseResponse};

/// Maximum time to wait for the response to a lease request. Later responses are of no use, because
/// the validity of a lease counts from the moment the request was sent.
const LEASE_CALL_TIMEOUT: Micros = Micros::from_secs(1);

/// Outcome of a lease renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseRenewal {
    /// The lease was renewed. Its full time to live counts from the moment the renewal was sent.
    Renewed,
    /// The lease has expired or was revoked.
    NotFound,
    /// There was no conclusive response, so the lease may have been renewed.
    Unknown,
}

impl Shared {
    /// Requests a new lease with the given time to live and returns its id. Returns `None` if the
    /// service did not grant a lease within [`LEASE_CALL_TIMEOUT`].
    pub(super) async fn grant_lease(&self, time_to_live: Micros) -> Option<u64> {
        let body = format!("{{\"ttl_ms\":{}}}", time_to_live.0 / 1_000).into_bytes();
        let request = Request::new(Method::Post, "/leases", body);
        let response = self
            .call_store_within_budget(request, LEASE_CALL_TIMEOUT)
            .await
            .ok()?;
        if response.status != 200 {
            return None;
        }
        let lease_response: LeaseResponse = serde_json::from_slice(&response.body).ok()?;
        Some(lease_response.lease)
    }

    /// Renews a lease at once, without waiting for the request budget.
    pub(super) async fn renew_lease(&self, lease: u64) -> LeaseRenewal {
        self.charge_request();
        let target = format!("/leases/{lease}/renew");
        let request = Request::new(Method::Post, target, b"{}".to_vec());
        let response = self
            .call(
                self.settings.state_service_address,
                request,
                LEASE_CALL_TIMEOUT,
            )
            .await;
        match response.map(|response| response.status) {
            Ok(200) => LeaseRenewal::Renewed,
            Ok(404) => LeaseRenewal::NotFound,
            _ => LeaseRenewal::Unknown,
        }
    }

    /// Revokes a lease. A failure is ignored, because a lease that is not renewed expires.
    pub(super) async fn revoke_lease(&self, lease: u64) {
        let request = Request::new(Method::Delete, format!("/leases/{lease}"), Vec::new());
        let _ = self
            .call_store_within_budget(request, LEASE_CALL_TIMEOUT)
            .await;
    }
}
