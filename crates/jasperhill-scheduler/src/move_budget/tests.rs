use super::*;

/// Draining hosts without a rate limit makes so many replicas unavailable that users notice.
#[test]
fn limits_moves_to_a_fraction_of_the_replicas() {
    let mut budget = MoveBudget::default();
    let moved = |budget: &mut MoveBudget, replicas, seconds: u64| {
        let attempts = (0..seconds * 10).map(|t| Micros::from_millis(3_600_000 + t * 100));
        attempts.filter(|at| budget.take(replicas, *at)).count()
    };
    assert!((30..=33).contains(&moved(&mut budget, 500, 30)));
    let mut small_budget = MoveBudget::default();
    assert!((1..=4).contains(&moved(&mut small_budget, 50, 30)));
}
