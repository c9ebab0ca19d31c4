//! Tests of idempotency tokens, the retry policy and the life cycle of requests.

use hoplanding_core::{
    config::RequestRepeatability,
    ids::{DaemonRef, Incarnation, Instant, RequestId, VmName},
    request::{
        AttemptEnd, DedupKey, IdempotencyToken, NotRunReason, RequestCall, RetryBudget,
        RetryDecision, RetryInput, RetryLimits, TokenDecision, TokenError, TokenRegistry,
        decide_retry,
    },
};
use std::time::Duration;

fn daemon(vm: &str, incarnation: u64) -> DaemonRef {
    DaemonRef {
        vm: VmName::new(vm),
        incarnation: Incarnation(incarnation),
    }
}

/// Guards against a request that is run again because of a proof that belongs to another request.
#[test]
fn a_not_run_proof_applies_only_to_its_own_request() {
    let id = |counter| RequestId {
        gateway: Incarnation(1),
        counter,
    };
    let proof = RequestCall::new(id(1)).refuse(NotRunReason::NotHolder);
    assert!(
        RequestCall::new(id(1))
            .mark_sent()
            .into_unsent(&proof)
            .is_ok()
    );
    assert!(
        RequestCall::new(id(2))
            .mark_sent()
            .into_unsent(&proof)
            .is_err()
    );
}

/// Guards against a second run when a caller repeats a request with the same token, and against a token that is reused
/// for a different request.
#[test]
fn a_token_runs_once_and_then_replays_its_answer() {
    let mut registry: TokenRegistry<&str> = TokenRegistry::new(daemon("a1", 1), 8);
    let token = registry.issue();
    let parsed = IdempotencyToken::parse(&token.to_string());
    assert_eq!(parsed.as_ref(), Some(&token));
    let key = DedupKey::Token(token);
    assert_eq!(registry.begin(&key, 7), Ok(TokenDecision::Run));
    assert_eq!(registry.begin(&key, 7), Ok(TokenDecision::Join));
    assert_eq!(
        registry.begin(&key, 8),
        Err(TokenError::FingerprintMismatch)
    );
    registry.finish(&key, Some("done"));
    assert_eq!(registry.begin(&key, 7), Ok(TokenDecision::Replay("done")));
}

/// A token whose request was proved not run must stay usable, and one whose outcome is unknown must never run again.
#[test]
fn a_released_token_can_run_again_but_a_spent_one_cannot() {
    let mut registry: TokenRegistry<&str> = TokenRegistry::new(daemon("a1", 1), 8);
    let key = DedupKey::Token(registry.issue());
    assert_eq!(registry.begin(&key, 7), Ok(TokenDecision::Run));
    registry.release(&key);
    assert_eq!(registry.begin(&key, 7), Ok(TokenDecision::Run));
    registry.finish(&key, None);
    assert_eq!(registry.begin(&key, 7), Ok(TokenDecision::Unknown));
}

/// Guards against unbounded memory for answers, and against a second run once an answer was evicted.
#[test]
fn a_token_stays_spent_when_its_answer_is_evicted() {
    let mut registry: TokenRegistry<usize> = TokenRegistry::new(daemon("a1", 1), 2);
    let keys: Vec<_> = (0..3).map(|_| DedupKey::Token(registry.issue())).collect();
    for (number, key) in keys.iter().enumerate() {
        assert_eq!(registry.begin(key, 7), Ok(TokenDecision::Run));
        registry.finish(key, Some(number));
    }
    assert_eq!(registry.begin(&keys[0], 7), Ok(TokenDecision::Unknown));
    assert_eq!(registry.begin(&keys[2], 7), Ok(TokenDecision::Replay(2)));
}

/// Guards against a second run on another daemon or after a restart of the issuer, and against tokens never issued.
#[test]
fn a_token_is_accepted_only_by_the_incarnation_that_issued_it() {
    let mut first: TokenRegistry<&str> = TokenRegistry::new(daemon("a1", 1), 8);
    let token = first.issue();
    let other: TokenRegistry<&str> = TokenRegistry::new(daemon("b1", 5), 8);
    assert_eq!(
        other.check(&token),
        Err(TokenError::WrongDaemon(daemon("a1", 1)))
    );
    let restarted: TokenRegistry<&str> = TokenRegistry::new(daemon("a1", 2), 8);
    assert_eq!(restarted.check(&token), Err(TokenError::IssuerEnded));
    let forged = IdempotencyToken {
        counter: 99,
        ..token
    };
    assert_eq!(first.check(&forged), Err(TokenError::NeverIssued));
}

/// Guards against tokens that two daemons accept after a planned stop, and against a used token that the successor runs
/// again.
#[test]
fn a_planned_stop_transfers_open_tokens_to_one_successor() {
    let mut stopping: TokenRegistry<&str> = TokenRegistry::new(daemon("a1", 1), 8);
    let (used, open) = (stopping.issue(), stopping.issue());
    assert_eq!(
        stopping.begin(&DedupKey::Token(used.clone()), 7),
        Ok(TokenDecision::Run)
    );
    let mut successor: TokenRegistry<&str> = TokenRegistry::new(daemon("a2", 1), 8);
    successor.inherit(&stopping.transfer_to(&daemon("a2", 1)));
    assert_eq!(
        stopping.begin(&DedupKey::Token(open.clone()), 7),
        Err(TokenError::Transferred(daemon("a2", 1)))
    );
    assert_eq!(
        successor.begin(&DedupKey::Token(open), 7),
        Ok(TokenDecision::Run)
    );
    assert_eq!(
        successor.begin(&DedupKey::Token(used), 7),
        Ok(TokenDecision::Unknown)
    );
}

fn input(repeatability: RequestRepeatability, end: AttemptEnd) -> RetryInput {
    RetryInput {
        repeatability,
        end,
        attempts: 1,
        not_run_count: 0,
        not_run_since: None,
        answer_started: false,
        broken_since: None,
        now: Instant(1_000_000),
        deadline: Instant(100_000_000),
        jitter: 0.5,
    }
}

/// Guards against a second run of a request that must not be repeated after the target failed. Retries that run nothing
/// twice stay allowed.
#[test]
fn only_repeatable_requests_are_repeated_after_a_failure() {
    let limits = RetryLimits::default();
    let mut budget = RetryBudget::new(4.0, 0.1);
    let mut decide =
        |repeatability, end| decide_retry(&limits, &mut budget, &input(repeatability, end));
    assert!(matches!(
        decide(RequestRepeatability::Repeatable, AttemptEnd::TargetFailed),
        RetryDecision::Retry(_)
    ));
    assert_eq!(
        decide(
            RequestRepeatability::NotRepeatable,
            AttemptEnd::TargetFailed
        ),
        RetryDecision::GiveUp
    );
    assert!(matches!(
        decide(RequestRepeatability::NotRepeatable, AttemptEnd::GivenBack),
        RetryDecision::Retry(_)
    ));
    assert!(matches!(
        decide(RequestRepeatability::NotRepeatable, AttemptEnd::Broken),
        RetryDecision::Resume(_)
    ));
}

/// Guards against retries that multiply the load when every request fails.
#[test]
fn the_budget_limits_retries_when_all_requests_fail() {
    let limits = RetryLimits::default();
    let mut budget = RetryBudget::new(10.0, 0.1);
    let mut retries = 0;
    for _ in 0..1000 {
        budget.earn();
        if matches!(
            decide_retry(
                &limits,
                &mut budget,
                &input(RequestRepeatability::Repeatable, AttemptEnd::TargetFailed)
            ),
            RetryDecision::Retry(_)
        ) {
            retries += 1;
        }
    }
    assert!(
        (100..=110).contains(&retries),
        "{retries} retries for 1000 failing requests"
    );
}

/// Guards against retries at a constant rate, beyond the retry time limit or beyond the caller's deadline.
#[test]
fn retry_pauses_grow_until_the_time_limit_or_deadline() {
    let limits = RetryLimits::default();
    let mut budget = RetryBudget::new(10.0, 0.1);
    let mut returned = input(RequestRepeatability::Repeatable, AttemptEnd::GivenBack);
    returned.not_run_count = 4;
    let RetryDecision::Retry(pause) = decide_retry(&limits, &mut budget, &returned) else {
        panic!("a request that was returned as not run must be retried");
    };
    assert_eq!(pause, Duration::from_millis(240));
    // The time limit for returned requests has passed.
    returned.not_run_since = Some(Instant(0));
    returned.now = Instant(2_000_000);
    assert_eq!(
        decide_retry(&limits, &mut budget, &returned),
        RetryDecision::GiveUp
    );
    returned.not_run_since = None;
    returned.now = returned.deadline;
    assert_eq!(
        decide_retry(&limits, &mut budget, &returned),
        RetryDecision::GiveUp
    );
}
