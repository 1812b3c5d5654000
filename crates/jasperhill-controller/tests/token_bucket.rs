//! The long-run rate that a token bucket permits.

use jasperhill_controller::token_bucket::TokenBucket;
use jasperhill_wire::Micros;

#[test]
fn long_run_rate_is_limited_by_rate_and_burst() {
    let mut bucket = TokenBucket::new(10.0, 5.0, Micros::ZERO);
    let (mut now, mut taken) = (Micros::ZERO, 0);
    while now < Micros::from_secs(10) {
        match bucket.take(1.0, now) {
            Ok(()) => taken += 1,
            Err(wait) => now += wait,
        }
    }
    assert!((100..=106).contains(&taken), "{taken}");
}
