//! How the deployment stands, as nobody within it can see.

use super::{NODES, SimulatedCluster};
use crate::worker::Worker;
use std::time::Duration;
use tokio::time::Instant;

impl SimulatedCluster {
    /// Records of machines that the cloud does not have.
    pub(crate) fn ghosts(&self) -> Vec<String> {
        let inner = self.inner.borrow();
        let recorded = inner.state.recorded();
        let there = |id: &String| inner.cloud.machines.contains_key(id);
        recorded.into_iter().filter(|id| !there(id)).collect()
    }

    /// The roles without a live owner, and the workers whom nobody has answered for some reports.
    pub(crate) fn unowned_and_unanswered(&self) -> (Vec<String>, Vec<String>) {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let roles = (0..NODES).map(|n| format!("jh/part/{n}"));
        let owned = |key: &String| {
            let owner = inner.state.field(key, "o")?;
            let session = format!("jh/session/{}", owner.as_str()?);
            (inner.state.field(key, "l")? == inner.state.field(&session, "l")?).then_some(())
        };
        let unowned = roles
            .chain(["jh/leader".to_owned()])
            .filter(|key| owned(key).is_none())
            .collect();
        let late = |w: &&Worker| now - w.lease_from > Duration::from_secs(9);
        let unanswered = inner.workers.values().filter(late).map(|w| w.id.clone());
        (unowned, unanswered.collect())
    }
}
