//! Bookkeeping of the delegation grants that this controller has given as an owner.

use jasperhill_wire::{Member, Micros};
use std::collections::BTreeMap;

/// The key of a grant: a partition and a delegate's request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct GrantKey {
    /// The partition whose hosts are delegated.
    pub partition: u32,
    /// The delegate's name, extended by the part number of its request.
    pub delegate: Member,
}

/// The times at which this controller gave its grants.
#[derive(Default)]
pub(super) struct DelegationGrants {
    /// The time at which each grant was given, by the monotonic clock.
    granted_at: BTreeMap<GrantKey, Micros>,
}

impl DelegationGrants {
    /// Records that a grant is given or renewed now.
    pub fn record(&mut self, key: GrantKey, now: Micros) {
        self.granted_at.insert(key, now);
    }

    /// Returns whether a grant in the store was given more than `lifetime` ago. A grant of a former
    /// owner counts as given when this method first sees it.
    pub fn is_expired(&mut self, key: &GrantKey, lifetime: Micros, now: Micros) -> bool {
        let granted_at = *self.granted_at.entry(key.clone()).or_insert(now);
        now - granted_at > lifetime
    }

    /// Removes a grant from the bookkeeping.
    pub fn remove(&mut self, key: &GrantKey) {
        self.granted_at.remove(key);
    }
}

#[cfg(test)]
mod tests;
