//! Raises the fencing tokens of hosts with commands in doubt.

use crate::{host_registry::HostUpdate, shared::Shared, store::WritePriority};
use jasperhill_wire::{HostId, Micros, record::Role};
use std::rc::Rc;

/// The longest time that the write of a host's record may wait before it is sent.
const WRITE_TIMEOUT: Micros = Micros::from_secs(5);
/// How long the store may have no new revision before a host's record is rewritten so that exited
/// tasks can be cleared under a higher token. One such write serves all hosts of all partitions.
const REVISION_WAIT: Micros = Micros::from_secs(5);

impl Shared {
    /// Raises the fencing tokens of hosts with commands in doubt by rewriting their records. A worker
    /// then refuses direct commands that arrive late with the old token. Also rewrites a record if
    /// exited tasks await a new revision and nothing else is written. Called by each scheduling pass.
    pub fn raise_tokens(self: &Rc<Self>) {
        let now = self.now();
        let mut hosts_to_update = Vec::new();
        {
            let mut state_guard = self.state.borrow_mut();
            let state = &mut *state_guard;
            state
                .commands
                .latest_revision
                .observe(state.cache.revision, now);
            for (partition_id, partition) in &state.scheduling.partitions {
                let role = (Role::Partition(*partition_id), partition.owned_since);
                let hosts_in_doubt = partition.hosts.values().filter(|h| h.needs_raised_token());
                let mut hosts: Vec<&HostId> = hosts_in_doubt.map(|host| &host.id).collect();
                if state
                    .commands
                    .latest_revision
                    .is_unchanged_for(REVISION_WAIT, now)
                    && let Some(owned_at) = state.cache.revision_owned(role.0, role.1)
                    && let Some(host) = partition.host_awaiting_revision(owned_at, now)
                {
                    state.commands.latest_revision.restart(now);
                    hosts.push(host);
                }
                for host in hosts {
                    if let Some(cached) = state.cache.hosts.get(host)
                        && !state.host_registry.is_backing_off(cached.block, now)
                        && state.commands.hosts_with_record_update.insert(host.clone())
                    {
                        hosts_to_update.push((role, host.clone(), cached.clone()));
                    }
                }
            }
        }
        let update_count = hosts_to_update.len() as u64;
        self.state.borrow_mut().commands.counts.token_writes += update_count;
        for (role, host, cached) in hosts_to_update {
            let shared = self.clone();
            tracing::info!(
                %host,
                partition = ?role.0,
                version = cached.version.0,
                "host record rewritten to raise its fencing token"
            );
            self.clone().spawn(async move {
                let mut record = cached.value;
                record.rewrites += 1;
                let update = HostUpdate {
                    priority: WritePriority::Accept,
                    role,
                    host: host.clone(),
                    expected_version: Some(cached.version),
                    new_record: Some(record),
                    deadline: shared.now() + WRITE_TIMEOUT,
                };
                // After the write, the watch cache passes the record's new revision to the partition.
                shared.update_host(cached.block, update).await;
                let mut state = shared.state.borrow_mut();
                state.commands.hosts_with_record_update.remove(&host);
            });
        }
    }
}
