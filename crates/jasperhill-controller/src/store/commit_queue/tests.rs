use super::*;
use jasperhill_wire::store::Change;

const NOW: Micros = Micros::from_secs(100);
const LIMIT: Micros = Micros::from_secs(1);

fn queue(rate: f64, changes_max: usize) -> CommitQueue {
    CommitQueue::new(TokenBucket::new(rate, rate, NOW), changes_max)
}

fn write_of(priority: WritePriority, key: &str) -> (PendingWrite, oneshot::Receiver<WriteOutcome>) {
    let (reply, outcome) = oneshot::channel();
    let changes = vec![Change::Delete { key: key.into() }];
    let write = PendingWrite::new(priority, Vec::new(), changes, LIMIT, NOW, reply);
    (write, outcome)
}

fn push(queue: &mut CommitQueue, priority: WritePriority, key: &str) {
    queue.push(write_of(priority, key).0);
}

fn keys(writes: &[PendingWrite]) -> Vec<&str> {
    writes.iter().map(PendingWrite::first_key).collect()
}

#[test]
fn writes_go_by_priority_and_by_arrival_within_one() {
    let mut queue = queue(100.0, 10);
    push(&mut queue, WritePriority::Accept, "a");
    push(&mut queue, WritePriority::Role, "b");
    push(&mut queue, WritePriority::Accept, "c");
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["b", "a", "c"]);
    assert!(queue.is_empty());
}

#[test]
fn writes_that_touch_the_same_key_go_in_different_transactions() {
    let mut queue = queue(100.0, 10);
    push(&mut queue, WritePriority::Accept, "a");
    push(&mut queue, WritePriority::Accept, "a");
    push(&mut queue, WritePriority::Accept, "b");
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["a", "b"]);
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["a"]);
}

#[test]
fn a_change_of_a_key_that_another_write_compares_waits() {
    let mut queue = queue(100.0, 10);
    let (mut guarded, _outcome) = write_of(WritePriority::Accept, "a");
    guarded.guards.push(Guard {
        key: "b".into(),
        version: Revision(1),
    });
    queue.push(guarded);
    push(&mut queue, WritePriority::Accept, "b");
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["a"]);
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["b"]);
}

#[test]
fn an_expired_write_is_not_sent() {
    let mut queue = queue(100.0, 10);
    push(&mut queue, WritePriority::Accept, "a");
    let next = queue.next_batch(NOW + LIMIT);
    assert_eq!((next.expired.len(), next.writes.len()), (1, 0));
}

#[test]
fn background_writes_leave_a_reserve_until_they_have_waited_too_long() {
    let mut queue = queue(10.0, 10);
    queue.charge(6, NOW);
    let (mut write, _outcome) = write_of(WritePriority::Background, "a");
    write.deadline = NOW + Micros::from_secs(60);
    queue.push(write);
    assert!(queue.wait_for_budget(NOW).is_some());
    assert!(queue.next_batch(NOW).writes.is_empty());
    push(&mut queue, WritePriority::Accept, "b");
    assert_eq!(queue.wait_for_budget(NOW), None);
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["b"]);
    let later = NOW + RESERVE_EXPIRY + Micros::from_millis(1);
    queue.charge(15, later);
    assert_eq!(keys(&queue.next_batch(later).writes), ["a"]);
}

#[test]
fn refused_writes_go_one_by_one_and_later_transactions_are_smaller() {
    let mut queue = queue(100.0, 10);
    for key in ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"] {
        push(&mut queue, WritePriority::Accept, key);
    }
    let refused = queue.next_batch(NOW).writes;
    assert_eq!(refused.len(), 10);
    assert_eq!(queue.shrink_transactions(refused.len()), 5);
    queue.requeue_unbatched(refused);
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["a"]);
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["b"]);
}

#[test]
fn pauses_grow_while_the_service_refuses_for_the_rate() {
    let mut queue = queue(100.0, 10);
    assert_eq!(queue.next_retry_pause(false), RETRY_PAUSE);
    assert_eq!(queue.next_retry_pause(true), RETRY_PAUSE);
    assert_eq!(queue.next_retry_pause(true), RETRY_PAUSE.scale(2.0));
    for _ in 0..5 {
        queue.next_retry_pause(true);
    }
    assert_eq!(queue.next_retry_pause(true), RETRY_PAUSE_MAX);
    queue.reset_retry_pause();
    assert_eq!(queue.next_retry_pause(true), RETRY_PAUSE);
}
