//! Grants end.

use super::*;

/// Guards against grants of a former owner that stay in the store for ever.
#[test]
fn a_grant_of_unknown_age_counts_from_when_it_is_seen() {
    let mut grants = DelegationGrants::default();
    let key = GrantKey {
        partition: 1,
        delegate: Member::new("a"),
    };
    let (now, lifetime) = (Micros::from_secs(100), Micros::from_secs(10));
    let second = Micros::from_secs(1);
    assert!(!grants.is_expired(&key, lifetime, now));
    assert!(!grants.is_expired(&key, lifetime, now + lifetime));
    assert!(grants.is_expired(&key, lifetime, now + lifetime + second));
    grants.record(key.clone(), now + lifetime);
    assert!(!grants.is_expired(&key, lifetime, now + lifetime + second));
}
