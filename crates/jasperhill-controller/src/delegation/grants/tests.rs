//! Tests of when delegation grants expire.

use super::*;

/// The time at which a former owner gave a grant is unknown. Such a grant must expire all the same, or
/// it would stay in the store forever.
#[test]
fn grant_of_unknown_age_expires_one_lifetime_after_first_seen() {
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
