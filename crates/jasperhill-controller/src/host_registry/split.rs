//! Splits a block of host records that exceeds the store's value size.

use jasperhill_wire::{
    HostId,
    record::{HostBlock, HostRecord},
};

/// Bytes allowed for an entry in addition to its id and record: quotes, separators and growth of the
/// record.
const ENTRY_OVERHEAD: usize = 16;
/// Bytes kept free in a block for its framing and for growth of its entries.
pub(super) const BLOCK_OVERHEAD: usize = 128;
/// Size assumed for a record that can't be encoded: more than any block holds, and small enough that a few
/// of them can be added without overflow.
const UNENCODABLE_BYTES: usize = usize::MAX / 4;

/// Returns the bytes that a host takes in an encoded block, including its overhead.
pub(super) fn entry_bytes(id: &HostId, record: &HostRecord) -> usize {
    let record_bytes = serde_json::to_vec(record).map_or(UNENCODABLE_BYTES, |bytes| bytes.len());
    record_bytes + id.as_str().len() + ENTRY_OVERHEAD
}

/// Splits a block into parts of at most `capacity_bytes` bytes each. The first part keeps the block's key.
/// Returns at most `parts_max` parts; hosts that don't fit into these stay in the first part, which may
/// then exceed the capacity.
pub(super) fn split_block(
    block: HostBlock,
    capacity_bytes: usize,
    parts_max: usize,
) -> Vec<HostBlock> {
    let mut parts = vec![HostBlock::default()];
    let mut used_bytes = 0;
    for (id, mut record) in block.hosts {
        let bytes = entry_bytes(&id, &record);
        if used_bytes + bytes > capacity_bytes && used_bytes > 0 {
            if parts.len() < parts_max {
                parts.push(HostBlock::default());
                used_bytes = 0;
            } else {
                parts[0].hosts.insert(id, record);
                continue;
            }
        }
        used_bytes += bytes;
        if parts.len() > 1 {
            // Makes the move to another block visible as a change of the host's record.
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
