//! Property test: authority ends before the session and before the watch cache is too old.

use jasperhill_membership::authority::{Authority, Input};
use jasperhill_wire::{Micros, Revision};
use proptest::prelude::*;

fn input() -> impl Strategy<Value = Input> {
    let time = (0u64..100_000_000).prop_map(Micros);
    prop_oneof![
        (0u64..3, time.clone()).prop_map(|(lease, sent)| Input::SessionStarted {
            lease,
            version: Revision(1),
            sent
        }),
        (0u64..3, time.clone()).prop_map(|(lease, sent)| Input::SessionRenewed { lease, sent }),
        (0u64..3).prop_map(|lease| Input::SessionLost { lease }),
        time.prop_map(|sent| Input::CacheFresh { sent }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// In any order of events, authority ends before the lease does, counted from the sending of
    /// the last renewal, and no later than the maximum age of the watch cache.
    #[test]
    fn authority_ends_in_time(inputs in proptest::collection::vec(input(), 1..40)) {
        let (ttl, cache_age_max) = (Micros::from_secs(10), Micros::from_secs(15));
        let mut authority = Authority::new(ttl, cache_age_max);
        let (mut last_renewal_sent, mut cache_fresh_until, mut held_lease) = (Micros::ZERO, Micros::ZERO, None);
        for input in inputs {
            authority.apply(input);
            match input {
                Input::SessionStarted { lease, sent: s, .. } => { held_lease = Some(lease); last_renewal_sent = s; }
                Input::SessionRenewed { lease, sent: s } if held_lease == Some(lease) => last_renewal_sent = last_renewal_sent.max(s),
                Input::SessionLost { lease } if held_lease == Some(lease) => held_lease = None,
                Input::CacheFresh { sent: s } => cache_fresh_until = cache_fresh_until.max(s),
                _ => {}
            }
            prop_assert!(authority.valid_until() < last_renewal_sent + ttl);
            prop_assert!(authority.valid_until() <= cache_fresh_until + cache_age_max);
            prop_assert!(held_lease.is_some() || !authority.is_valid_at(Micros::ZERO));
        }
    }
}
