use super::*;

fn response(revision: u64, failed: &[&str]) -> String {
    let response = TransactionResponse {
        revision: Revision(revision),
        failed: failed.iter().map(|key| (*key).to_owned()).collect(),
    };
    serde_json::to_string(&response).unwrap()
}

fn outcome(status: u16, body: &str) -> TransactionOutcome {
    TransactionOutcome::from_response(Ok(Response::new(status, body.as_bytes().to_vec())))
}

#[test]
fn committed_transaction_reports_revision_only_if_response_is_readable() {
    let committed = outcome(200, &response(7, &[]));
    assert!(matches!(
        committed,
        TransactionOutcome::Committed(Revision(7))
    ));
    let malformed = outcome(200, "{");
    assert!(matches!(
        malformed,
        TransactionOutcome::CommittedAtUnknownRevision
    ));
}

#[test]
fn conflict_reports_keys_of_failed_guards() {
    let conflict = outcome(409, &response(7, &["a"]));
    assert!(matches!(conflict, TransactionOutcome::Conflict { failed } if failed == ["a"]));
    let malformed = outcome(409, "{");
    assert!(matches!(malformed, TransactionOutcome::Conflict { failed } if failed.is_empty()));
}

/// Guards against resending a write that may already have been executed: only refusals and requests
/// that were never sent are retryable, every other failure leaves the outcome unknown.
#[test]
fn only_transactions_certainly_not_executed_are_retryable() {
    assert!(matches!(outcome(429, ""), TransactionOutcome::RateLimited));
    assert!(matches!(outcome(503, ""), TransactionOutcome::Unavailable));
    assert!(matches!(outcome(500, ""), TransactionOutcome::Unknown));
    let outcome_of_error = |error| TransactionOutcome::from_response(Err(error));
    assert!(matches!(
        outcome_of_error(ClientError::NotSent),
        TransactionOutcome::NotSent
    ));
    assert!(matches!(
        outcome_of_error(ClientError::NoSocket),
        TransactionOutcome::NotSent
    ));
    assert!(matches!(
        outcome_of_error(ClientError::NoAnswer),
        TransactionOutcome::Unknown
    ));
    assert!(matches!(
        outcome_of_error(ClientError::TooLong),
        TransactionOutcome::Unknown
    ));
}

#[test]
fn merges_shared_guard_of_two_writes_into_one() {
    let write = |key: &str| {
        let guards = vec![Guard {
            key: "session".into(),
            version: Revision(3),
        }];
        let changes = vec![Change::Delete { key: key.into() }];
        let (reply, _) = oneshot::channel();
        let (send_timeout, now) = (Micros::from_secs(1), Micros::from_secs(100));
        PendingWrite::new(
            WritePriority::Accept,
            guards,
            changes,
            send_timeout,
            now,
            reply,
        )
    };
    let transaction = merge_writes(&[write("a"), write("b")]);
    assert_eq!(transaction.guards.len(), 1);
    assert_eq!(transaction.changes.len(), 2);
}
