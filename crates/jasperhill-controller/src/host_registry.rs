//! The host records: many share a block, one key of the state service, so that a fleet can
//! change in bulk. Owns the edits that wait to be written and turns them into writes, at most
//! one under way for each block. An edit is a compare-and-swap on one host's record; other
//! hosts of the block do not bear on it.
//!
//! A block that is larger than a value may be is split by whoever writes it, once every member
//! understands that: one transaction rewrites it and puts what no longer fits into new blocks,
//! so that no host is ever in two blocks or in none.

use crate::{
    shared::Shared,
    state::State,
    store::{WriteOutcome, WritePriority, guard, put},
    watch_cache::WatchCache,
};
use jasperhill_wire::{
    HostId, Micros, Revision,
    record::{DEPENDENCIES, HostBlock, HostRecord, Role, block_key, role_key},
    store::{Change, Guard},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};
use tokio::sync::oneshot;

/// One change of one host's record.
pub(crate) struct HostUpdate {
    pub urgency: WritePriority,
    /// In what role, owned since when.
    pub role: (Role, Revision),
    pub host: HostId,
    /// The version that it changes; `None`: there is no record yet.
    pub expected_version: Option<Revision>,
    /// `None`: the record goes.
    pub new_record: Option<HostRecord>,
    /// Not written any more after that.
    pub deadline: Micros,
}

struct PendingUpdate {
    edit: HostUpdate,
    reply: oneshot::Sender<WriteOutcome>,
}

/// Edits that wait, by block.
#[derive(Default)]
pub(crate) struct HostRegistry {
    waiting: BTreeMap<u32, Vec<PendingUpdate>>,
    writing: BTreeSet<u32>,
    /// Where the leader has put hosts. A host keeps its block while this leadership lasts,
    /// even if a write's fate is unknown: it must never stand in two blocks.
    placed: BTreeMap<HostId, u32>,
    /// Blocks that the leader wants split, with nothing to edit.
    splitting: BTreeSet<u32>,
    /// New blocks of splits that are being written.
    reserved: BTreeSet<u32>,
    /// Blocks that were refused, and until when they are left alone.
    refused: BTreeMap<u32, Micros>,
}

/// What one write of a block consists of.
struct PreparedWrite {
    edits: Vec<PendingUpdate>,
    urgency: WritePriority,
    guards: Vec<Guard>,
    changes: Vec<Change>,
    /// The new blocks among them.
    fresh: Vec<u32>,
}

/// Edits that may wait for one block; more are refused.
const WAITING_MAX: usize = 1_000;
/// What an entry takes in a block beyond its own text.
const ENTRY_MORE: usize = 16;
/// What a block takes beyond its entries, and what is left for them to grow.
const BLOCK_MORE: usize = 128;
/// A refused block is left alone for so long.
const REFUSED_FOR: Micros = Micros::from_secs(2);
/// Blocks split at a time.
const SPLITS_MAX: usize = 4;

fn entry_bytes(id: &HostId, record: &HostRecord) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX / 4, |v| v.len()) + id.as_str().len() + ENTRY_MORE
}

impl HostRegistry {
    /// A new leadership, at whose revision late writes of the earlier one die.
    pub fn clear_assignments(&mut self) {
        self.placed.clear();
    }

    /// The block for a new host. Blocks are filled by partition, so that their owners seldom
    /// write the same one at the same time.
    pub fn assign_block(
        &mut self,
        mirror: &WatchCache,
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
        for (block, bytes) in &mirror.block_bytes {
            if block % partitions == partition {
                sizes.insert(*block, *bytes);
            }
        }
        for (_, block) in self
            .placed
            .iter()
            .filter(|(other, _)| !mirror.hosts.contains_key(*other))
        {
            // Entries are alike: this one stands for those that are on their way.
            *sizes.entry(*block).or_default() += mine;
        }
        let full = |block: &u32| {
            self.reserved.contains(block) || sizes.get(block).is_some_and(|used| used + mine > room)
        };
        let mut block = partition;
        while full(&block) {
            block += partitions;
        }
        self.placed.insert(id.clone(), block);
        block
    }

    /// The record of a placed host is gone: it may be placed anew.
    pub fn unassign_block(&mut self, id: &HostId) {
        self.placed.remove(id);
    }

    /// Edits of this block were refused a moment ago.
    pub fn is_backing_off(&self, block: u32, now: Micros) -> bool {
        self.refused.get(&block).is_some_and(|until| now < *until)
    }
}

/// The parts of a block, the first of which stays under its key: each within `room`, but no
/// more than `most` parts; what does not fit then stays in the first.
fn parts(block: HostBlock, room: usize, most: usize) -> Vec<HostBlock> {
    let mut parts = vec![HostBlock::default()];
    let mut used = 0;
    for (id, mut record) in block.hosts {
        let bytes = entry_bytes(&id, &record);
        if used + bytes > room && used > 0 {
            if parts.len() < most {
                parts.push(HostBlock::default());
                used = 0;
            } else {
                parts[0].hosts.insert(id, record);
                continue;
            }
        }
        used += bytes;
        if parts.len() > 1 {
            // Every change of an entry is seen as one.
            record.rewrites += 1;
        }
        if let Some(last) = parts.last_mut() {
            last.hosts.insert(id, record);
        }
    }
    parts
}

impl Shared {
    /// Queues an edit of a host's record in this block and waits for its fate.
    pub async fn update_host(self: &Rc<Self>, block: u32, edit: HostUpdate) -> WriteOutcome {
        let (reply, fate) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            let waiting = state.host_registry.waiting.entry(block).or_default();
            if waiting.len() >= WAITING_MAX {
                return WriteOutcome::NotExecuted;
            }
            waiting.push(PendingUpdate { edit, reply });
        }
        self.write_block(block);
        fate.await.unwrap_or(WriteOutcome::Unknown)
    }

    /// Begins to write a block's edits, unless that is under way.
    fn write_block(self: &Rc<Self>, block: u32) {
        if self.state.borrow_mut().host_registry.writing.insert(block) {
            let inner = self.clone();
            self.clone().spawn(async move {
                while inner.write_block_once(block).await {}
                inner
                    .state
                    .borrow_mut()
                    .host_registry
                    .writing
                    .remove(&block);
            });
        }
    }

    /// False: nothing is left to write.
    async fn write_block_once(self: &Rc<Self>, block: u32) -> bool {
        // What comes in the same moment goes together.
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        let now = self.now();
        let Some(prepared) = self.next_block(&mut self.state.borrow_mut(), block, now) else {
            return false;
        };
        let PreparedWrite {
            edits,
            urgency,
            guards,
            changes,
            fresh,
        } = prepared;
        let done = if guards.is_empty() {
            WriteOutcome::NotExecuted
        } else {
            let limit = Micros::from_secs(3);
            let sent = self.now();
            let done = self.write(urgency, guards, changes, limit).await;
            let now = self.now();
            let mut state = self.state.borrow_mut();
            if done == WriteOutcome::NotExecuted && now - sent < limit {
                // Refused, not merely late. Guards against one block that is written again and
                // again although the state service does not take it.
                state.host_registry.refused.retain(|_, until| now < *until);
                state.host_registry.refused.insert(block, now + REFUSED_FOR);
            }
            if let WriteOutcome::Committed(_) = done
                && !fresh.is_empty()
            {
                tracing::info!(block, into = fresh.len(), "host block split");
                let State {
                    host_registry,
                    cache,
                    ..
                } = &mut *state;
                for (id, place) in &mut host_registry.placed {
                    if *place == block
                        && let Some(kept) = cache.hosts.get(id)
                    {
                        *place = kept.block;
                    }
                }
            }
            for n in &fresh {
                state.host_registry.reserved.remove(n);
            }
            done
        };
        match done {
            // Another controller has changed the block: the edits are tried on what it is now.
            WriteOutcome::Conflict => {
                let fine = self.read_index().await;
                let mut state = self.state.borrow_mut();
                if fine {
                    let waiting = state.host_registry.waiting.entry(block).or_default();
                    waiting.splice(0..0, edits);
                } else {
                    answer(edits, WriteOutcome::Conflict);
                }
            }
            other => answer(edits, other),
        }
        true
    }

    /// The leader has blocks split that are larger than a value may be, a few at a time. Guards
    /// against blocks that nobody happens to edit before the limits fall.
    pub fn split_blocks(self: &Rc<Self>) {
        let mut due = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            if !state.membership.features.supports(DEPENDENCIES)
                || state.provisioning.leader.is_none()
            {
                return;
            }
            let now = self.now();
            for (block, bytes) in &state.cache.block_bytes {
                if *bytes > self.settings.value_bytes
                    && due.len() < SPLITS_MAX
                    && !state.host_registry.is_backing_off(*block, now)
                    && !state.host_registry.writing.contains(block)
                {
                    due.push(*block);
                }
            }
            state.host_registry.splitting.extend(due.iter().copied());
        }
        for block in due {
            self.write_block(block);
        }
    }

    /// The edits of one role that can be written together now, and the write.
    fn next_block(&self, state: &mut State, block: u32, now: Micros) -> Option<PreparedWrite> {
        let split = state.host_registry.splitting.remove(&block);
        let waiting = state
            .host_registry
            .waiting
            .remove(&block)
            .unwrap_or_default();
        let leader = state
            .provisioning
            .leader
            .as_ref()
            .map(|l| (Role::Leader, l.since));
        let role = match waiting.first() {
            Some(w) => w.edit.role,
            None if split => leader?,
            None => return None,
        };
        let mut hosts = state.cache.block(block);
        let version = state.cache.blocks.get(&block).copied();
        let (mut edits, mut rest): (Vec<PendingUpdate>, Vec<PendingUpdate>) =
            (Vec::new(), Vec::new());
        let mut touched: BTreeSet<HostId> = BTreeSet::new();
        // The role may have changed hands since.
        let owned = state.cache.roles.get(&role.0).map(|k| k.version);
        for w in waiting {
            let HostUpdate {
                host,
                expected_version: was,
                new_record: becomes,
                ..
            } = &w.edit;
            let kept = state.cache.hosts.get(host);
            if now >= w.edit.deadline || state.host_registry.is_backing_off(block, now) {
                let _ = w.reply.send(WriteOutcome::NotExecuted);
            } else if kept.map(|k| k.version) != *was
                || kept.is_some_and(|k| k.block != block)
                || (w.edit.role == role && owned.is_some_and(|v| v > role.1))
            {
                let _ = w.reply.send(WriteOutcome::Conflict);
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
            state.host_registry.waiting.insert(block, rest);
        }
        if edits.is_empty() && !(split && version.is_some()) {
            return state
                .host_registry
                .waiting
                .contains_key(&block)
                .then(|| PreparedWrite {
                    edits: Vec::new(),
                    urgency: WritePriority::Background,
                    guards: Vec::new(),
                    changes: Vec::new(),
                    fresh: Vec::new(),
                });
        }
        let urgency = edits
            .iter()
            .map(|w| w.edit.urgency)
            .min()
            .unwrap_or(WritePriority::Finish);
        let key = block_key(block);
        let mut guards = vec![
            guard(role_key(role.0), role.1),
            guard(key.clone(), version.unwrap_or_default()),
        ];
        let bytes = serde_json::to_vec(&hosts).map_or(0, |b| b.len());
        tracing::debug!(
            block,
            bytes,
            hosts = hosts.hosts.len(),
            edits = edits.len(),
            "host block"
        );
        if bytes <= self.settings.value_bytes || !state.membership.features.supports(DEPENDENCIES) {
            return Some(PreparedWrite {
                edits,
                urgency,
                guards,
                changes: vec![put(key, &hosts)],
                fresh: Vec::new(),
            });
        }
        let room = self.settings.value_bytes.saturating_sub(BLOCK_MORE);
        let mut parts = parts(hosts, room, self.settings.txn_ops).into_iter();
        let mut changes = vec![put(key, &parts.next().unwrap_or_default())];
        let (mut fresh, mut next) = (Vec::new(), block);
        for part in parts {
            next += self.settings.size;
            while state.cache.blocks.contains_key(&next)
                || state.host_registry.reserved.contains(&next)
                || state.host_registry.waiting.contains_key(&next)
            {
                next += self.settings.size;
            }
            state.host_registry.reserved.insert(next);
            fresh.push(next);
            guards.push(guard(block_key(next), Revision(0)));
            changes.push(put(block_key(next), &part));
        }
        Some(PreparedWrite {
            edits,
            // Not behind what can wait: a block that is too large soon can't be written at all.
            urgency: urgency.min(WritePriority::Finish),
            guards,
            changes,
            fresh,
        })
    }
}

fn answer(edits: Vec<PendingUpdate>, done: WriteOutcome) {
    for w in edits {
        let _ = w.reply.send(done);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use jasperhill_wire::record::HostAssignment;
    use proptest::prelude::*;

    fn block(hosts: usize) -> HostBlock {
        let host = |n: usize| {
            let record = HostRecord {
                assignment: HostAssignment::Partition(1),
                address: format!("10.1.{}.{}:9000", n / 200, n % 200),
                machine_type: "box".into(),
                zone: "somewhere".into(),
                spot: n.is_multiple_of(2),
                rewrites: n as u64,
            };
            (HostId::new(&format!("n-{n:06}")), record)
        };
        HostBlock {
            hosts: (0..hosts).map(host).collect(),
        }
    }

    fn bytes(block: &HostBlock) -> usize {
        serde_json::to_vec(block).unwrap().len()
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            rng_seed: proptest::test_runner::RngSeed::Fixed(47),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]
        /// Every host is in exactly one part, changed only in its count of changes; all parts fit
        /// if there are enough of them, and otherwise the first keeps what is left.
        #[test]
        fn a_split_block_loses_no_host(hosts in 0usize..160, kb in 2usize..6, most in 1usize..16) {
            let whole = block(hosts);
            let room = kb * 1_024 - BLOCK_MORE;
            let parts = parts(whole.clone(), room, most);
            prop_assert!(parts.len() <= most);
            let mut again = HostBlock::default();
            for (n, part) in parts.iter().enumerate() {
                for (id, record) in &part.hosts {
                    let mut record = record.clone();
                    record.rewrites -= u64::from(n > 0);
                    prop_assert!(again.hosts.insert(id.clone(), record).is_none());
                }
                if parts.len() < most || n > 0 {
                    prop_assert!(bytes(part) <= kb * 1_024, "{} bytes", bytes(part));
                }
            }
            prop_assert_eq!(again, whole);
        }
    }
}
