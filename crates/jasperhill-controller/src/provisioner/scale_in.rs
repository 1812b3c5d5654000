//! Giving up hosts that are not needed, lost or bad, and returning machines to the cloud.

use super::moved;
use crate::{
    host_registry::HostUpdate,
    shared::Shared,
    store::{WriteOutcome, WritePriority},
};
use jasperhill_http::Method;
use jasperhill_scheduler::FencingState;
use jasperhill_wire::{
    HostId, Micros, Revision,
    cloud::HostNames,
    record::{HostAssignment, Role},
};
use std::{collections::BTreeSet, rc::Rc, time::Duration};
use tokio::time::sleep;

/// The part of the hosts that are too many that is emptied at a time.
const DRAIN_PART: usize = 4;

impl Shared {
    /// Returns what is condemned or never came into use. The record goes only when the
    /// machine is gone for sure.
    pub(super) async fn release(self: &Rc<Self>) {
        let names: Vec<HostId> = {
            let state = self.state.borrow();
            let condemned = state
                .cache
                .hosts
                .iter()
                .filter(|(_, k)| matches!(k.value.assignment, HostAssignment::Decommissioned(_)))
                .map(|(id, _)| id.clone());
            state
                .provisioning
                .returning
                .iter()
                .filter(|id| {
                    state.cache.hosts.get(*id).is_none_or(|k| {
                        matches!(k.value.assignment, HostAssignment::Decommissioned(_))
                            || k.value.partition().is_some()
                    })
                })
                .cloned()
                .chain(condemned)
                .collect::<BTreeSet<_>>()
                .into_iter()
                .take(100)
                .collect()
        };
        if names.is_empty() || !self.has_authority() {
            return;
        }
        let body = serde_json::to_vec(&HostNames {
            hosts: names.clone(),
        })
        .unwrap_or_default();
        let Some(answer) = self
            .cloud_call(Method::Post, "/rentals/release", body)
            .await
        else {
            return;
        };
        if answer.status != 200 {
            return;
        }
        let mut deletes = Vec::new();
        let now = self.now();
        {
            let mut state = self.state.borrow_mut();
            for id in names {
                tracing::info!(host = %id, "returned to the cloud");
                state.provisioning.returning.remove(&id);
                if let Some(leader) = state.provisioning.leader.as_mut() {
                    leader.returned.insert(id.clone(), now);
                }
                if let Some(kept) = state.cache.hosts.get(&id) {
                    deletes.push((id, kept.clone()));
                }
            }
        }
        for (id, kept) in deletes {
            self.clone().spawn(self.clone().delete_host(id, kept));
        }
    }

    /// Owners give up hosts that they do not need, and condemn those that are lost or bad.
    /// The host is out of use here before the write, and back only by the record.
    pub(super) fn decommission_surplus(self: Rc<Self>) {
        let now = self.now();
        let mut gifts = Vec::new();
        {
            let mut guarded = self.state.borrow_mut();
            if !guarded.authority.holds(now) {
                return;
            }
            let mut stocks = self.inventory(&guarded);
            let state = &mut *guarded;
            let short = stocks.iter().any(|s| s.want > s.have);
            for (p, partition) in &mut state.scheduling.partitions {
                let Some(stock) = stocks.get_mut(*p as usize) else {
                    continue;
                };
                let keep = if short {
                    Micros::from_secs(1)
                } else {
                    self.settings.operator.tuning.idle_keep
                };
                // A part at a time: what is wanted changes from one moment to the next, and a
                // replica that moves is away for a moment.
                let more = |have: i64, want: i64| {
                    usize::try_from(have - want)
                        .unwrap_or(0)
                        .div_ceil(DRAIN_PART)
                };
                let surplus = (
                    more(stock.have, stock.want),
                    more(stock.have_ordinary, stock.want_ordinary),
                );
                partition.drain_surplus(now, surplus);
                let ids: Vec<HostId> = partition.hosts.keys().cloned().collect();
                for id in ids {
                    let Some(host) = partition.hosts.get(&id) else {
                        continue;
                    };
                    if !matches!(host.assignment, HostAssignment::Partition(_))
                        || state.commands.token_updates.contains(&id)
                    {
                        continue;
                    }
                    let lost = host.fencing == FencingState::Lapsed
                        && now - host.last_answer
                            > self.scheduler_config.lease_expiry() + Micros::from_secs(30);
                    let bad = host.is_empty() && (host.is_faulty(now) || host.slowness > 2.2);
                    let spare = stock.have > stock.want
                        && (host.spot || stock.have_ordinary > stock.want_ordinary)
                        && partition.is_spare(&id, now, keep);
                    let usage = if lost || (bad && host.fencing == FencingState::Fenced) {
                        HostAssignment::Decommissioned(None)
                    } else if spare && short {
                        HostAssignment::Free
                    } else if spare {
                        // Nobody is short: it need not go by way of the leader.
                        HostAssignment::Decommissioned(None)
                    } else {
                        continue;
                    };
                    let Some(kept) = state.cache.hosts.get(&id) else {
                        continue;
                    };
                    stock.have -= 1;
                    stock.have_ordinary -= i64::from(!kept.value.spot);
                    state.commands.token_updates.insert(id.clone());
                    gifts.push((*p, partition.since, id.clone(), kept.clone(), usage));
                    if let Some(host) = partition.hosts.get_mut(&id) {
                        host.assignment = usage;
                    }
                }
            }
        }
        for (p, since, id, kept, usage) in gifts {
            let inner = self.clone();
            self.clone().spawn(async move {
                let old = kept.value.assignment;
                let edit = HostUpdate {
                    urgency: WritePriority::Background,
                    role: (Role::Partition(p), since),
                    host: id.clone(),
                    expected_version: Some(kept.version),
                    new_record: Some(moved(&kept, usage)),
                    deadline: inner.now() + Micros::from_secs(5),
                };
                let done = inner.update_host(kept.block, edit).await;
                if let WriteOutcome::Committed(_) = done {
                    tracing::info!(host = %id, ?usage, "host given up");
                } else {
                    inner.reclaim_host(p, since, &id, old).await;
                }
                inner.state.borrow_mut().commands.token_updates.remove(&id);
            });
        }
    }

    /// After a gift that failed, or may still be carried out: the host is used again only
    /// once its record has been rewritten, which kills the late write.
    pub(super) async fn reclaim_host(
        self: &Rc<Self>,
        p: u32,
        since: Revision,
        id: &HostId,
        usage: HostAssignment,
    ) {
        loop {
            sleep(Duration::from_millis(500)).await;
            let kept = {
                let state = self.state.borrow();
                if state
                    .scheduling
                    .partitions
                    .get(&p)
                    .is_none_or(|part| part.since != since)
                {
                    return;
                }
                state.cache.hosts.get(id).cloned()
            };
            let Some(kept) = kept.filter(|k| k.value.assignment == usage) else {
                return;
            };
            let edit = HostUpdate {
                urgency: WritePriority::Background,
                role: (Role::Partition(p), since),
                host: id.clone(),
                expected_version: Some(kept.version),
                new_record: Some(moved(&kept, usage)),
                deadline: self.now() + Micros::from_secs(5),
            };
            match self.update_host(kept.block, edit).await {
                WriteOutcome::Committed(_) => return,
                _ => {
                    self.read_index().await;
                }
            }
        }
    }
}
