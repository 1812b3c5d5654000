use super::*;

/// Guards against a consolidation that users see as replicas missing.
#[test]
fn few_of_the_replicas_move_at_a_time() {
    let mut moves = MoveBudget::default();
    let moved = |moves: &mut MoveBudget, replicas, seconds: u64| {
        let tries = (0..seconds * 10).map(|t| Micros::from_millis(3_600_000 + t * 100));
        tries.filter(|at| moves.take(replicas, *at)).count()
    };
    assert!((30..=33).contains(&moved(&mut moves, 500, 30)));
    let mut few = MoveBudget::default();
    assert!((1..=4).contains(&moved(&mut few, 50, 30)));
}
