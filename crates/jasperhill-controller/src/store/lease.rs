//! Leases of the state service: granted, renewed and revoked. Owns no state; the session, which is
//! the one user of leases, is in [`super::session`].

use crate::shared::Shared;
use jasperhill_http::{Method, Request};
use jasperhill_wire::{Micros, store::LeaseResponse};

/// How long an answer is waited for. A grant or a renewal that takes longer is of no use: what it
/// entitles to counts from the moment it was sent.
const LEASE_CALL_LIMIT: Micros = Micros::from_secs(1);

/// What became of a lease that was to be renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseRenewal {
    /// It lasts its full time to live again, counted from when the renewal was sent.
    Renewed,
    /// It has expired or was revoked.
    Gone,
    /// No answer, or none that says: it may have been renewed.
    Unknown,
}

impl Shared {
    /// A new lease with this time to live; `None` if the service did not grant one in time.
    pub(super) async fn grant_lease(&self, time_to_live: Micros) -> Option<u64> {
        let body = format!("{{\"ttl_ms\":{}}}", time_to_live.0 / 1_000).into_bytes();
        let request = Request::new(Method::Post, "/leases", body);
        let response = self
            .call_store_within_budget(request, LEASE_CALL_LIMIT)
            .await
            .ok()?;
        if response.status != 200 {
            return None;
        }
        let granted: LeaseResponse = serde_json::from_slice(&response.body).ok()?;
        Some(granted.lease)
    }

    /// Renews a lease at once, whatever is left of the request budget.
    pub(super) async fn renew_lease(&self, lease: u64) -> LeaseRenewal {
        self.charge_request();
        let target = format!("/leases/{lease}/renew");
        let request = Request::new(Method::Post, target, b"{}".to_vec());
        let response = self
            .call(self.settings.state, request, LEASE_CALL_LIMIT)
            .await;
        match response.map(|response| response.status) {
            Ok(200) => LeaseRenewal::Renewed,
            Ok(404) => LeaseRenewal::Gone,
            _ => LeaseRenewal::Unknown,
        }
    }

    /// Revokes a lease. Whether it succeeds makes no difference to correctness: a lease that nobody
    /// renews expires.
    pub(super) async fn revoke_lease(&self, lease: u64) {
        let request = Request::new(Method::Delete, format!("/leases/{lease}"), Vec::new());
        let _ = self
            .call_store_within_budget(request, LEASE_CALL_LIMIT)
            .await;
    }
}
