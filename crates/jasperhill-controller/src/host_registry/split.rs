//! Splitting a block of host records that is larger than a value may be.

use jasperhill_wire::{
    HostId,
    record::{HostBlock, HostRecord},
};

/// Bytes of an entry in a block beyond its id and its record: quotes, separators and growth.
const ENTRY_OVERHEAD: usize = 16;
/// Bytes of a block beyond its entries, and what is left for them to grow.
pub(super) const BLOCK_OVERHEAD: usize = 128;
/// The length that a record counts for which can't be encoded: more than any block holds, and small
/// enough that a few of them can be added up.
const UNENCODABLE_BYTES: usize = usize::MAX / 4;

/// How many bytes a host takes in a block.
pub(super) fn entry_bytes(id: &HostId, record: &HostRecord) -> usize {
    let record_bytes = serde_json::to_vec(record).map_or(UNENCODABLE_BYTES, |bytes| bytes.len());
    record_bytes + id.as_str().len() + ENTRY_OVERHEAD
}

/// The parts of a block, the first of which stays under its key: each within `capacity` bytes, but no more
/// than `parts_max` parts; what does not fit then stays in the first.
pub(super) fn split_block(block: HostBlock, capacity: usize, parts_max: usize) -> Vec<HostBlock> {
    let mut parts = vec![HostBlock::default()];
    let mut used = 0;
    for (id, mut record) in block.hosts {
        let bytes = entry_bytes(&id, &record);
        if used + bytes > capacity && used > 0 {
            if parts.len() < parts_max {
                parts.push(HostBlock::default());
                used = 0;
            } else {
                parts[0].hosts.insert(id, record);
                continue;
            }
        }
        used += bytes;
        if parts.len() > 1 {
            // A host's move to another block must be seen as a change of its record.
            record.rewrites += 1;
        }
        if let Some(last) = parts.last_mut() {
            last.hosts.insert(id, record);
        }
    }
    parts
}

#[cfg(test)]
mod tests;
