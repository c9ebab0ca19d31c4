//! Proofs that no key was taken away: over relays that stand still, answers that come late and reads that are not
//! woken, a call is let through only while no key can have been gone for longer than the bound.

use hoplanding_core::{
    direct::freshness::{FreshnessProof, HeartbeatEcho, RevocationRule},
    ids::Instant,
};
use proptest::{collection::vec, prelude::*};
use std::time::Duration;

const RULE: RevocationRule = RevocationRule {
    bound: Duration::from_secs(5),
};
const NEWEST: u64 = 7;

fn at(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

#[test]
fn a_proof_counts_from_when_its_read_was_sent() {
    let mut proof = FreshnessProof::default();
    assert!(!proof.is_fresh(RULE, at(0)));
    proof.record_read(at(100));
    assert!(proof.is_fresh(RULE, at(4_900)));
    assert!(!proof.is_fresh(RULE, at(5_100)));
    // An older answer that comes late changes nothing.
    proof.record_read(at(50));
    assert_eq!(proof.age(at(200)), Some(Duration::from_millis(100)));
}

#[test]
fn a_proof_of_a_newer_configuration_than_is_known_proves_nothing_here() {
    let mut holder = FreshnessProof::default();
    holder.record_read(at(1_000));
    let passed = holder.relay(NEWEST, at(1_200)).expect("a proof");
    let echo = HeartbeatEcho {
        sent: at(1_150).0,
        held_ms: 30,
    };
    let mut proof = FreshnessProof::default();
    proof.accept_relayed(&passed, &echo, 6);
    assert_eq!(proof.age(at(1_300)), None);
    proof.accept_relayed(&passed, &echo, 8);
    assert_eq!(proof.age(at(1_300)), Some(Duration::from_millis(320)));
}

/// One hop of a proof: how long its parts take, in ms.
#[derive(Clone, Copy, Debug)]
struct Hop {
    /// From the receiver's sign of life until it comes.
    there: u64,
    /// From its coming until the sender looks at its proof.
    held: u64,
    /// From the answer's making until the receiver reads it: a cut link, or either side standing still.
    back: u64,
    /// What the receiver's clock says when the sender's says nothing.
    clock: u64,
}

fn hop() -> impl Strategy<Value = Hop> {
    let span = || prop_oneof![4 => 0..20_u64, 2 => 0..900_u64, 1 => 0..9_000_u64];
    (span(), span(), span(), 0..5_000_u64).prop_map(|(there, held, back, clock)| Hop {
        there,
        held,
        back,
        clock,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, rng_seed: proptest::test_runner::RngSeed::Fixed(36), failure_persistence: None, ..ProptestConfig::default() })]

    /// A read was sent at a time, and a key was taken away right after it was answered. However the proof went on from
    /// VM to VM, none lets a call through later than the bound after that.
    #[test]
    fn no_relay_makes_a_proof_younger(
        answered in 0..3_000_u64,
        hops in vec(hop(), 0..5),
        waits in 0..9_000_u64,
    ) {
        let sent = 20_000;
        // The sender's clock is true time plus an offset.
        let (mut proof, mut offset) = (FreshnessProof::default(), 0);
        proof.record_read(at(sent));
        let mut now = sent + answered;
        for hop in hops {
            // The receiver's sign of life is under way while the sender has its proof, or before.
            let asked = now;
            let looked = asked + hop.there + hop.held;
            let passed = proof.relay(NEWEST, at(looked + offset)).expect("a proof");
            let echo = HeartbeatEcho { sent: at(asked + hop.clock).0, held_ms: hop.held as u32 };
            let mut received = FreshnessProof::default();
            received.accept_relayed(&passed, &echo, NEWEST);
            (proof, offset) = (received, hop.clock);
            now = looked + hop.back;
        }
        let now = now + waits;
        if proof.is_fresh(RULE, at(now + offset)) {
            prop_assert!(now <= sent + 5_000, "{now}");
        }
    }
}
