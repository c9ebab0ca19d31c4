//! Tokens, retries and the life cycle.

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

#[test]
fn a_proof_is_good_for_its_own_request_only() {
    let id = |counter| RequestId {
        gateway: Incarnation(1),
        counter,
    };
    let proof = RequestCall::new(id(1)).refuse(NotRunReason::NotHolder);
    assert!(
        RequestCall::new(id(1))
            .mark_sent()
            .given_back(&proof)
            .is_ok()
    );
    assert!(
        RequestCall::new(id(2))
            .mark_sent()
            .given_back(&proof)
            .is_err()
    );
}

#[test]
fn a_token_runs_once_and_replays() {
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

#[test]
fn a_released_token_may_run_again_and_a_spent_one_never() {
    let mut registry: TokenRegistry<&str> = TokenRegistry::new(daemon("a1", 1), 8);
    let key = DedupKey::Token(registry.issue());
    assert_eq!(registry.begin(&key, 7), Ok(TokenDecision::Run));
    registry.release(&key);
    assert_eq!(registry.begin(&key, 7), Ok(TokenDecision::Run));
    registry.finish(&key, None);
    assert_eq!(registry.begin(&key, 7), Ok(TokenDecision::Unknown));
}

#[test]
fn kept_answers_are_bounded_and_what_goes_stays_spent() {
    let mut registry: TokenRegistry<usize> = TokenRegistry::new(daemon("a1", 1), 2);
    let keys: Vec<_> = (0..3).map(|_| DedupKey::Token(registry.issue())).collect();
    for (number, key) in keys.iter().enumerate() {
        assert_eq!(registry.begin(key, 7), Ok(TokenDecision::Run));
        registry.finish(key, Some(number));
    }
    assert_eq!(registry.begin(&keys[0], 7), Ok(TokenDecision::Unknown));
    assert_eq!(registry.begin(&keys[2], 7), Ok(TokenDecision::Replay(2)));
}

#[test]
fn tokens_belong_to_one_run_of_one_daemon() {
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

#[test]
fn a_planned_stop_hands_open_tokens_to_one_heir() {
    let mut leaver: TokenRegistry<&str> = TokenRegistry::new(daemon("a1", 1), 8);
    let (used, open) = (leaver.issue(), leaver.issue());
    assert_eq!(
        leaver.begin(&DedupKey::Token(used.clone()), 7),
        Ok(TokenDecision::Run)
    );
    let mut heir: TokenRegistry<&str> = TokenRegistry::new(daemon("a2", 1), 8);
    heir.inherit(&leaver.transfer_to(&daemon("a2", 1)));
    assert_eq!(
        leaver.begin(&DedupKey::Token(open.clone()), 7),
        Err(TokenError::Transferred(daemon("a2", 1)))
    );
    assert_eq!(
        heir.begin(&DedupKey::Token(open), 7),
        Ok(TokenDecision::Run)
    );
    assert_eq!(
        heir.begin(&DedupKey::Token(used), 7),
        Ok(TokenDecision::Unknown)
    );
}

fn input(rule: RequestRepeatability, end: AttemptEnd) -> RetryInput {
    RetryInput {
        rule,
        end,
        attempts: 1,
        given_back: 0,
        given_back_since: None,
        answer_started: false,
        broken_since: None,
        now: Instant(1_000_000),
        deadline: Instant(100_000_000),
        jitter: 0.5,
    }
}

#[test]
fn only_repeatable_work_is_repeated_after_a_failure() {
    let limits = RetryLimits::default();
    let mut budget = RetryBudget::new(4.0, 0.1);
    let mut decide = |rule, end| decide_retry(&limits, &mut budget, &input(rule, end));
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

#[test]
fn the_budget_bounds_retries_under_faults() {
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

#[test]
fn pauses_grow_and_the_deadline_ends_them() {
    let limits = RetryLimits::default();
    let mut budget = RetryBudget::new(10.0, 0.1);
    let mut late = input(RequestRepeatability::Repeatable, AttemptEnd::GivenBack);
    late.given_back = 4;
    let RetryDecision::Retry(pause) = decide_retry(&limits, &mut budget, &late) else {
        panic!("given back work is tried again");
    };
    assert_eq!(pause, Duration::from_millis(240));
    // Nobody is kept waiting once the search is over.
    late.given_back_since = Some(Instant(0));
    late.now = Instant(2_000_000);
    assert_eq!(
        decide_retry(&limits, &mut budget, &late),
        RetryDecision::GiveUp
    );
    late.given_back_since = None;
    late.now = late.deadline;
    assert_eq!(
        decide_retry(&limits, &mut budget, &late),
        RetryDecision::GiveUp
    );
}
