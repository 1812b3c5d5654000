//! Raises the fencing tokens of hosts with commands in doubt.

use crate::{
    host_registry::HostUpdate,
    shared::Shared,
    state::State,
    store::WritePriority,
    watch_cache::{HostEntry, WatchCache},
};
use jasperhill_scheduler::Partition;
use jasperhill_wire::{HostId, Micros, Revision, record::Role};
use std::rc::Rc;

/// The longest time that the write of a host's record may wait before it is sent.
const WRITE_TIMEOUT: Micros = Micros::from_secs(5);
/// How long the store may have no new revision before a host's record is rewritten so that exited
/// tasks can be cleared under a higher token. One such write serves all hosts of all partitions.
const REVISION_WAIT: Micros = Micros::from_secs(5);

/// A host's record that is to be rewritten, so that its version and with it the host's token rises.
struct RecordRewrite {
    /// The role under which it is written, and the revision since which this controller owns it.
    role: (Role, Revision),
    /// The host.
    host: HostId,
    /// The record that is replaced.
    entry: HostEntry,
}

/// Raises the token of a host before a message to its worker if exited tasks can be cleared only
/// under a higher one, to the latest revision at which this controller is known to own the partition.
pub(crate) fn raise_token_to_clear(
    cache: &WatchCache,
    partition: &mut Partition,
    host: &HostId,
    now: Micros,
) {
    let role = Role::Partition(partition.id);
    if let Some(owned_at) = cache.revision_owned(role, partition.owned_since) {
        partition.raise_token_to_clear(host, owned_at, now);
    }
}

impl Shared {
    /// Raises the fencing tokens of hosts with commands in doubt by rewriting their records. A worker
    /// then refuses direct commands that arrive late with the old token. Also rewrites a record if
    /// exited tasks await a new revision and nothing else is written. Called by each scheduling pass.
    pub fn raise_tokens(self: &Rc<Self>) {
        for rewrite in self.take_due_rewrites() {
            tracing::info!(
                host = %rewrite.host,
                partition = ?rewrite.role.0,
                version = rewrite.entry.version.0,
                "host record rewritten to raise its fencing token"
            );
            self.clone().spawn(self.clone().rewrite_record(rewrite));
        }
    }

    /// Returns the records to rewrite now, and marks their updates as pending.
    fn take_due_rewrites(&self) -> Vec<RecordRewrite> {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let State {
            scheduling,
            cache,
            commands,
            host_registry,
            ..
        } = &mut *state_guard;
        commands.latest_revision.observe(cache.revision, now);
        let mut due = Vec::new();
        for (partition_id, partition) in &scheduling.partitions {
            let role = (Role::Partition(*partition_id), partition.owned_since);
            let hosts_in_doubt = partition.hosts.values().filter(|h| h.needs_raised_token());
            let mut hosts: Vec<&HostId> = hosts_in_doubt.map(|host| &host.id).collect();
            if commands
                .latest_revision
                .is_unchanged_for(REVISION_WAIT, now)
                && let Some(owned_at) = cache.revision_owned(role.0, role.1)
                && let Some(host) = partition.host_awaiting_revision(owned_at, now)
            {
                commands.latest_revision.restart(now);
                hosts.push(host);
            }
            for host in hosts {
                if let Some(entry) = cache.hosts.get(host)
                    && !host_registry.is_backing_off(entry.block, now)
                    && commands.hosts_with_record_update.insert(host.clone())
                {
                    due.push(RecordRewrite {
                        role,
                        host: host.clone(),
                        entry: entry.clone(),
                    });
                }
            }
        }
        commands.metrics.counts.token_writes += due.len() as u64;
        due
    }

    /// Rewrites a host's record. After the write, the watch cache passes the record's new revision to
    /// the partition.
    async fn rewrite_record(self: Rc<Self>, rewrite: RecordRewrite) {
        let RecordRewrite { role, host, entry } = rewrite;
        let mut record = entry.value;
        record.rewrites += 1;
        let update = HostUpdate {
            priority: WritePriority::Accept,
            role,
            host: host.clone(),
            expected_version: Some(entry.version),
            new_record: Some(record),
            deadline: self.now() + WRITE_TIMEOUT,
        };
        self.update_host(entry.block, update).await;
        let mut state = self.state.borrow_mut();
        state.commands.hosts_with_record_update.remove(&host);
    }
}
