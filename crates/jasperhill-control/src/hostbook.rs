//! The host records: many share a block, one key of the state service, so that a fleet can
//! change in bulk. Owns the edits that wait to be written and turns them into writes, at most
//! one under way for each block. An edit is a compare-and-swap on one host's record; other
//! hosts of the block do not bear on it.

use crate::{
    controller::{Inner, State},
    mirror::Mirror,
    store::{Urgency, Written, guard, put},
};
use jasperhill_wire::{
    HostId, Micros, Revision,
    record::{HostRecord, Role, block_key, role_key},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};
use tokio::sync::oneshot;

/// One change of one host's record.
pub(crate) struct Edit {
    pub urgency: Urgency,
    /// In what role, owned since when.
    pub role: (Role, Revision),
    pub host: HostId,
    /// The version that it changes; `None`: there is no record yet.
    pub was: Option<Revision>,
    /// `None`: the record goes.
    pub becomes: Option<HostRecord>,
    /// Not written any more after that.
    pub by: Micros,
}

struct Waiting {
    edit: Edit,
    reply: oneshot::Sender<Written>,
}

/// Edits that wait, by block.
#[derive(Default)]
pub(crate) struct HostBook {
    waiting: BTreeMap<u32, Vec<Waiting>>,
    writing: BTreeSet<u32>,
    /// Where the leader has put hosts. A host keeps its block while this leadership lasts,
    /// even if a write's fate is unknown: it must never stand in two blocks.
    placed: BTreeMap<HostId, u32>,
}

/// Edits that may wait for one block; more are refused.
const WAITING_MAX: usize = 1_000;
/// What an entry takes in a block beyond its own text.
const ENTRY_MORE: usize = 16;
/// What a block takes beyond its entries.
const BLOCK_MORE: usize = 128;

fn entry_bytes(id: &HostId, record: &HostRecord) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX / 4, |v| v.len()) + id.as_str().len() + ENTRY_MORE
}

impl HostBook {
    /// A new leadership, at whose revision late writes of the earlier one die.
    pub fn forget_places(&mut self) {
        self.placed.clear();
    }

    /// The block for a new host. Blocks are filled by partition, so that their owners seldom
    /// write the same one at the same time.
    pub fn place(
        &mut self,
        mirror: &Mirror,
        id: &HostId,
        record: &HostRecord,
        (partition, partitions): (u32, u32),
        value_bytes: usize,
    ) -> u32 {
        if let Some(block) = self.placed.get(id) {
            return *block;
        }
        let room = value_bytes.saturating_sub(BLOCK_MORE);
        let mine = entry_bytes(id, record);
        let mut sizes: BTreeMap<u32, usize> = BTreeMap::new();
        for (other, kept) in &mirror.hosts {
            if kept.block % partitions == partition && !self.placed.contains_key(other) {
                *sizes.entry(kept.block).or_default() += entry_bytes(other, &kept.value);
            }
        }
        for block in self.placed.values() {
            // Entries are alike: this one stands for those that are on their way.
            *sizes.entry(*block).or_default() += mine;
        }
        let mut block = partition;
        while sizes.get(&block).is_some_and(|used| used + mine > room) {
            block += partitions;
        }
        self.placed.insert(id.clone(), block);
        block
    }

    /// The record of a placed host is gone: it may be placed anew.
    pub fn displace(&mut self, id: &HostId) {
        self.placed.remove(id);
    }
}

impl Inner {
    /// Queues an edit of a host's record in this block and waits for its fate.
    pub async fn edit_host(self: &Rc<Self>, block: u32, edit: Edit) -> Written {
        let (reply, fate) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            let waiting = state.book.waiting.entry(block).or_default();
            if waiting.len() >= WAITING_MAX {
                return Written::NotDone;
            }
            waiting.push(Waiting { edit, reply });
        }
        self.write_block(block);
        fate.await.unwrap_or(Written::Unknown)
    }

    /// Begins to write a block's edits, unless that is under way.
    fn write_block(self: &Rc<Self>, block: u32) {
        if self.state.borrow_mut().book.writing.insert(block) {
            let inner = self.clone();
            self.clone().spawn(async move {
                while inner.write_block_once(block).await {}
                inner.state.borrow_mut().book.writing.remove(&block);
            });
        }
    }

    /// False: nothing is left to write.
    async fn write_block_once(self: &Rc<Self>, block: u32) -> bool {
        // What comes in the same moment goes together.
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        let now = self.now();
        let Some((edits, urgency, guards, change)) =
            self.next_block(&mut self.state.borrow_mut(), block, now)
        else {
            return false;
        };
        let done = if guards.is_empty() {
            Written::NotDone
        } else {
            let limit = Micros::from_secs(3);
            self.write(urgency, guards, vec![change], limit).await
        };
        match done {
            // Another controller has changed the block: the edits are tried on what it is now.
            Written::Conflict => {
                let fine = self.barrier().await;
                let mut state = self.state.borrow_mut();
                if fine {
                    let waiting = state.book.waiting.entry(block).or_default();
                    waiting.splice(0..0, edits);
                } else {
                    answer(edits, Written::Conflict);
                }
            }
            other => answer(edits, other),
        }
        true
    }

    /// The edits of one role that can be written together now, and the write.
    #[allow(clippy::type_complexity)]
    fn next_block(
        &self,
        state: &mut State,
        block: u32,
        now: Micros,
    ) -> Option<(
        Vec<Waiting>,
        Urgency,
        Vec<jasperhill_wire::state::Guard>,
        jasperhill_wire::state::Change,
    )> {
        let waiting = state.book.waiting.remove(&block)?;
        let role = waiting.first()?.edit.role;
        let mut hosts = state.mirror.block(block);
        let version = state.mirror.blocks.get(&block).copied();
        let (mut edits, mut rest): (Vec<Waiting>, Vec<Waiting>) = (Vec::new(), Vec::new());
        let mut touched: BTreeSet<HostId> = BTreeSet::new();
        // The role may have changed hands since.
        let owned = state.mirror.roles.get(&role.0).map(|k| k.version);
        for w in waiting {
            let Edit {
                host, was, becomes, ..
            } = &w.edit;
            let kept = state.mirror.hosts.get(host);
            if now >= w.edit.by {
                let _ = w.reply.send(Written::NotDone);
            } else if kept.map(|k| k.version) != *was
                || kept.is_some_and(|k| k.block != block)
                || (w.edit.role == role && owned.is_some_and(|v| v > role.1))
            {
                let _ = w.reply.send(Written::Conflict);
            } else if w.edit.role != role || touched.contains(host) {
                rest.push(w);
            } else {
                match becomes {
                    Some(record) => hosts.hosts.insert(host.clone(), record.clone()),
                    None => hosts.hosts.remove(host),
                };
                touched.insert(host.clone());
                edits.push(w);
            }
        }
        if !rest.is_empty() {
            state.book.waiting.insert(block, rest);
        }
        if edits.is_empty() {
            return state.book.waiting.contains_key(&block).then(|| {
                let nothing = jasperhill_wire::state::Change::Delete { key: String::new() };
                (Vec::new(), Urgency::Rest, Vec::new(), nothing)
            });
        }
        let urgency = edits
            .iter()
            .map(|w| w.edit.urgency)
            .min()
            .unwrap_or(Urgency::Rest);
        let key = block_key(block);
        let guards = vec![
            guard(role_key(role.0), role.1),
            guard(key.clone(), version.unwrap_or_default()),
        ];
        Some((edits, urgency, guards, put(key, &hosts)))
    }
}

fn answer(edits: Vec<Waiting>, done: Written) {
    for w in edits {
        let _ = w.reply.send(done);
    }
}
