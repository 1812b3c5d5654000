//! The delegation grants that this controller has given as an owner.

use jasperhill_wire::{Member, Micros};
use std::collections::BTreeMap;

/// What a grant is for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct GrantKey {
    /// The partition whose hosts are delegated.
    pub partition: u32,
    /// The delegate, with the part of its requests.
    pub delegate: Member,
}

/// When this controller gave its grants.
#[derive(Default)]
pub(super) struct DelegationGrants {
    /// When each grant was given, by the steady clock.
    granted_at: BTreeMap<GrantKey, Micros>,
}

impl DelegationGrants {
    /// Notes that a grant is given, or given again.
    pub fn record(&mut self, key: GrantKey, now: Micros) {
        self.granted_at.insert(key, now);
    }

    /// Whether a grant in the store was given more than `lifetime` ago. One from before this ownership
    /// counts as given when it is first seen here.
    pub fn is_expired(&mut self, key: &GrantKey, lifetime: Micros, now: Micros) -> bool {
        let granted_at = *self.granted_at.entry(key.clone()).or_insert(now);
        now - granted_at > lifetime
    }

    /// Forgets a grant.
    pub fn remove(&mut self, key: &GrantKey) {
        self.granted_at.remove(key);
    }
}

#[cfg(test)]
mod tests;
