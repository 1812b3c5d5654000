//! Who gets which free machine.

use super::moved;
use crate::{
    host_registry::HostUpdate,
    shared::Shared,
    store::{WriteOutcome, WritePriority},
};
use jasperhill_wire::{
    Micros,
    record::{HostAssignment, Role},
};
use std::rc::Rc;

impl Shared {
    /// Gives free hosts to partitions that are short, and condemns those nobody needs.
    pub(super) fn assign_free(self: &Rc<Self>) {
        let now = self.now();
        let mut moves = Vec::new();
        {
            let mut guarded = self.state.borrow_mut();
            let mut stocks = self.inventory(&guarded);
            let state = &mut *guarded;
            let Some(leader) = state.provisioning.leader.as_mut() else {
                return;
            };
            let free: Vec<_> = state
                .cache
                .hosts
                .iter()
                .filter(|(_, k)| k.value.assignment == HostAssignment::Free)
                .map(|(id, k)| (id.clone(), k.clone()))
                .collect();
            leader
                .free_since
                .retain(|id, _| free.iter().any(|(f, _)| f == id));
            for (id, kept) in free {
                let since = *leader.free_since.entry(id.clone()).or_insert(now);
                let short = (0..stocks.len()).max_by_key(|i| {
                    let s = &stocks[*i];
                    ((s.want_first - s.have).max(0), s.want - s.have)
                });
                let usage = match short {
                    Some(p) if stocks[p].want > stocks[p].have => {
                        stocks[p].have += 1;
                        HostAssignment::Partition(p as u32)
                    }
                    _ if now - since > Micros::from_secs(5) => HostAssignment::Decommissioned(None),
                    _ => continue,
                };
                if state.commands.token_updates.insert(id.clone()) {
                    moves.push((id, kept, usage, leader.since));
                }
            }
        }
        for (id, kept, usage, since) in moves {
            let inner = self.clone();
            self.clone().spawn(async move {
                let edit = HostUpdate {
                    urgency: WritePriority::Finish,
                    role: (Role::Leader, since),
                    host: id.clone(),
                    expected_version: Some(kept.version),
                    new_record: Some(moved(&kept, usage)),
                    deadline: inner.now() + Micros::from_secs(3),
                };
                if let WriteOutcome::Committed(_) = inner.update_host(kept.block, edit).await {
                    tracing::info!(host = %id, ?usage, "host moved");
                }
                inner.state.borrow_mut().commands.token_updates.remove(&id);
            });
        }
    }
}
