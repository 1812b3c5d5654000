//! Observations of the whole deployment that no single component of it can make.

use super::{NODE_COUNT, SimulatedCluster};
use crate::worker::Worker;
use std::time::Duration;
use tokio::time::Instant;

impl SimulatedCluster {
    /// Returns the recorded hosts that the cloud no longer has.
    pub(crate) fn stale_host_records(&self) -> Vec<String> {
        let inner = self.inner.borrow();
        let recorded_hosts = inner.state.recorded();
        let is_in_cloud = |id: &String| inner.cloud.machines.contains_key(id);
        recorded_hosts
            .into_iter()
            .filter(|id| !is_in_cloud(id))
            .collect()
    }

    /// Returns the roles without a live owner, and the workers whose last answered heartbeat is
    /// more than 9 s old.
    pub(crate) fn unowned_roles_and_unanswered_workers(&self) -> (Vec<String>, Vec<String>) {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let roles = (0..NODE_COUNT).map(|n| format!("jh/part/{n}"));
        let live_owner = |key: &String| {
            let owner = inner.state.field(key, "o")?;
            let session = format!("jh/session/{}", owner.as_str()?);
            (inner.state.field(key, "l")? == inner.state.field(&session, "l")?).then_some(())
        };
        let unowned = roles
            .chain(["jh/leader".to_owned()])
            .filter(|key| live_owner(key).is_none())
            .collect();
        let is_unanswered = |w: &&Worker| now - w.lease_from > Duration::from_secs(9);
        let unanswered = inner
            .workers
            .values()
            .filter(is_unanswered)
            .map(|w| w.id.clone());
        (unowned, unanswered.collect())
    }
}
