//! Host records of the watch cache. The store groups host records into blocks, and the cache tracks
//! changes per host.

use super::{Change, HostEntry, WatchCache};
use jasperhill_wire::{HostId, Revision, record::HostBlock};

impl WatchCache {
    /// Returns the hosts that a block currently contains.
    pub fn block(&self, block: u32) -> HostBlock {
        let is_in_block = |(id, entry): &(&HostId, &HostEntry)| {
            entry.block == block && !self.hosts_without_block.contains(*id)
        };
        let hosts = self.hosts.iter().filter(is_in_block);
        HostBlock {
            hosts: hosts
                .map(|(id, entry)| (id.clone(), entry.value.clone()))
                .collect(),
        }
    }

    /// Applies the content of a block if its version is newer than the cached version.
    pub(super) fn put_block(
        &mut self,
        block: u32,
        content: HostBlock,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        let cached_version = self.blocks.get(&block);
        if cached_version.is_some_and(|cached| version <= *cached) {
            return;
        }
        self.blocks.insert(block, version);
        let bytes = serde_json::to_vec(&content).map_or(0, |encoded| encoded.len());
        self.block_bytes.insert(block, bytes);
        self.replace_block(block, content, version, changes);
    }

    /// Deletes a block if the deletion is newer than the cached version.
    pub(super) fn delete_block(
        &mut self,
        block: u32,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        let cached_version = self.blocks.get(&block);
        if cached_version.is_some_and(|cached| version > *cached) {
            self.blocks.remove(&block);
            self.block_bytes.remove(&block);
            self.replace_block(block, HostBlock::default(), version, changes);
        }
    }

    /// Replaces the hosts of a block with `content`, and appends a change for each host whose
    /// record has changed.
    fn replace_block(
        &mut self,
        block: u32,
        content: HostBlock,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        let removed_hosts = self
            .hosts
            .iter()
            .filter(|(id, entry)| entry.block == block && !content.hosts.contains_key(*id))
            .map(|(id, _)| id.clone());
        self.hosts_without_block.extend(removed_hosts);
        for (id, value) in content.hosts {
            self.hosts_without_block.remove(&id);
            let is_unchanged = |entry: &HostEntry| entry.block == block && entry.value == value;
            if !self.hosts.get(&id).is_some_and(is_unchanged) {
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

    /// Removes the hosts that no block contains. Must be called only while the watch cache is
    /// complete.
    pub(super) fn remove_hosts_without_block(&mut self, changes: &mut Vec<Change>) {
        for id in std::mem::take(&mut self.hosts_without_block) {
            self.hosts.remove(&id);
            changes.push(Change::Host(id));
        }
    }
}
