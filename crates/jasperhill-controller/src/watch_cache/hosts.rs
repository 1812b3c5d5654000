//! The hosts of the watch cache: their records stand in blocks, and change one by one.

use super::{Change, HostEntry, WatchCache};
use jasperhill_wire::{HostId, Revision, record::HostBlock};

impl WatchCache {
    /// The content of a block.
    pub fn block(&self, block: u32) -> HostBlock {
        let is_here = |(id, entry): &(&HostId, &HostEntry)| {
            entry.block == block && !self.unplaced_hosts.contains(*id)
        };
        let hosts = self.hosts.iter().filter(is_here);
        HostBlock {
            hosts: hosts
                .map(|(id, entry)| (id.clone(), entry.value.clone()))
                .collect(),
        }
    }

    /// Takes over a block, if it is newer than what is known.
    pub(super) fn put_block(
        &mut self,
        block: u32,
        content: HostBlock,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        let known = self.blocks.get(&block);
        if known.is_some_and(|known| version <= *known) {
            return;
        }
        self.blocks.insert(block, version);
        let bytes = serde_json::to_vec(&content).map_or(0, |encoded| encoded.len());
        self.block_bytes.insert(block, bytes);
        self.replace_block(block, content, version, changes);
    }

    /// Deletes a block, if the deletion is newer than what is known.
    pub(super) fn delete_block(
        &mut self,
        block: u32,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        let known = self.blocks.get(&block);
        if known.is_some_and(|known| version > *known) {
            self.blocks.remove(&block);
            self.block_bytes.remove(&block);
            self.replace_block(block, HostBlock::default(), version, changes);
        }
    }

    /// Carries over what a block says of its hosts, and only what has changed.
    fn replace_block(
        &mut self,
        block: u32,
        content: HostBlock,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        let removed = self
            .hosts
            .iter()
            .filter(|(id, entry)| entry.block == block && !content.hosts.contains_key(*id))
            .map(|(id, _)| id.clone());
        self.unplaced_hosts.extend(removed);
        for (id, value) in content.hosts {
            self.unplaced_hosts.remove(&id);
            let unchanged = |entry: &HostEntry| entry.block == block && entry.value == value;
            if !self.hosts.get(&id).is_some_and(unchanged) {
                let entry = HostEntry {
                    value,
                    version,
                    block,
                };
                self.hosts.insert(id.clone(), entry);
                changes.push(Change::Host(id));
            }
        }
    }

    /// Removes the hosts that no block names. Only for a complete watch cache.
    pub(super) fn remove_unplaced_hosts(&mut self, changes: &mut Vec<Change>) {
        for id in std::mem::take(&mut self.unplaced_hosts) {
            self.hosts.remove(&id);
            changes.push(Change::Host(id));
        }
    }
}
