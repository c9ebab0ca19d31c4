//! Bounds of buffered answers, without a network.

use hoplanding_core::direct::answer_budget::{AnswerBudget, BufferRule, GrowthVerdict, max_pieces};

const RULE: BufferRule = BufferRule {
    max_answer_bytes: 800,
    max_total_bytes: 1_000,
};

/// Guards against unbounded answers that take the room of answers of the usual size.
#[test]
fn unbounded_answers_end_and_small_ones_complete() {
    let mut budget = AnswerBudget::new(RULE);
    let mut unbounded: Vec<_> = (0..8).map(|_| (budget.begin(), 0)).collect();
    let small: Vec<_> = (0..10).map(|_| budget.begin()).collect();
    let mut ended = 0;
    for round in 1..=100 {
        for (id, size) in &mut unbounded {
            *size += 20;
            match budget.resize(*id, *size) {
                GrowthVerdict::Fits => {}
                GrowthVerdict::Ends(largest) => {
                    assert!(!small.contains(&largest), "round {round}");
                    ended += 1;
                }
                GrowthVerdict::TooLarge | GrowthVerdict::Ended => {
                    (*id, *size) = (budget.begin(), 0);
                }
            }
            assert!(budget.total_bytes() <= RULE.max_total_bytes);
        }
        for id in &small {
            let verdict = budget.resize(*id, round.min(20));
            assert!(!matches!(
                verdict,
                GrowthVerdict::Ended | GrowthVerdict::TooLarge
            ));
        }
    }
    assert!(ended > 0);
    let sizes: Vec<_> = small.iter().map(|id| budget.complete(*id)).collect();
    assert_eq!(sizes, [20; 10]);
}

/// Guards against an end of answers in many small pieces, such as a line each.
#[test]
fn only_large_answers_need_large_pieces() {
    assert!(max_pieces(20 * 1024) >= 2_000);
    assert!(max_pieces(8 << 20) < 100_000);
}

#[test]
fn an_answer_over_its_own_bound_ends() {
    let mut budget = AnswerBudget::new(RULE);
    let id = budget.begin();
    assert_eq!(budget.resize(id, 800), GrowthVerdict::Fits);
    assert_eq!(budget.resize(id, 801), GrowthVerdict::TooLarge);
    assert_eq!(budget.resize(id, 802), GrowthVerdict::Ended);
    assert_eq!(budget.total_bytes(), 0);
}

/// Guards against callers that read slowly and thereby end all other answers.
#[test]
fn undelivered_answers_leave_half_of_the_room() {
    let mut budget = AnswerBudget::new(RULE);
    for _ in 0..4 {
        let id = budget.begin();
        assert_eq!(budget.resize(id, 500), GrowthVerdict::Fits);
        assert_eq!(budget.complete(id), 500);
    }
    let id = budget.begin();
    assert_eq!(budget.resize(id, 501), GrowthVerdict::Ends(id));
    (0..4).for_each(|_| budget.record_delivery(500));
    let id = budget.begin();
    assert_eq!(budget.resize(id, 800), GrowthVerdict::Fits);
}
