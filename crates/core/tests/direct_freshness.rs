//! Proofs that no key was revoked. Guards against a call that is admitted although its key was revoked longer ago than
//! the bound, when relays are paused, answers arrive late or a waiting read is not woken by a new record.

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
fn proof_counts_from_the_time_its_read_was_sent() {
    let mut proof = FreshnessProof::default();
    assert!(!proof.is_fresh(RULE, at(0)));
    proof.record_read(at(100));
    assert!(proof.is_fresh(RULE, at(4_900)));
    assert!(!proof.is_fresh(RULE, at(5_100)));
    // An older answer that arrives late changes nothing.
    proof.record_read(at(50));
    assert_eq!(proof.age(at(200)), Some(Duration::from_millis(100)));
}

#[test]
fn proof_of_a_newer_configuration_is_not_accepted() {
    let mut holder = FreshnessProof::default();
    holder.record_read(at(1_000));
    let relayed = holder.forward(NEWEST, at(1_200)).expect("a proof");
    let echo = HeartbeatEcho {
        sent: at(1_150).0,
        held_ms: 30,
    };
    let mut proof = FreshnessProof::default();
    proof.accept_forwarded(&relayed, &echo, 6);
    assert_eq!(proof.age(at(1_300)), None);
    proof.accept_forwarded(&relayed, &echo, 8);
    assert_eq!(proof.age(at(1_300)), Some(Duration::from_millis(320)));
}

/// Delays in the forwarding of a proof from one VM to the next.
#[derive(Clone, Copy, Debug)]
struct RelayDelays {
    /// From the receiver's heartbeat until it arrives.
    request_ms: u64,
    /// From its arrival until the sender reads its own proof.
    held_ms: u64,
    /// From the reply until the receiver handles it; long if the link is cut or either side is paused.
    reply_ms: u64,
    /// Offset of the receiver's clock from true time.
    clock_offset_ms: u64,
}

fn relay_delays() -> impl Strategy<Value = RelayDelays> {
    let span = || prop_oneof![4 => 0..20_u64, 2 => 0..900_u64, 1 => 0..9_000_u64];
    (span(), span(), span(), 0..5_000_u64).prop_map(
        |(request_ms, held_ms, reply_ms, clock_offset_ms)| RelayDelays {
            request_ms,
            held_ms,
            reply_ms,
            clock_offset_ms,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, rng_seed: proptest::test_runner::RngSeed::Fixed(36), failure_persistence: None, ..ProptestConfig::default() })]

    /// A key is revoked right after a read of the records was answered. However the proof is relayed from VM to VM,
    /// none admits a call later than the bound after the read.
    #[test]
    fn relaying_never_makes_a_proof_younger(
        read_ms in 0..3_000_u64,
        hops in vec(relay_delays(), 0..5),
        wait_ms in 0..9_000_u64,
    ) {
        let sent = 20_000;
        // The clock of a VM is true time plus an offset.
        let (mut proof, mut offset) = (FreshnessProof::default(), 0);
        proof.record_read(at(sent));
        let mut now = sent + read_ms;
        for delays in hops {
            // The receiver's heartbeat arrives while the sender has its proof, or earlier.
            let requested_ms = now;
            let relayed_ms = requested_ms + delays.request_ms + delays.held_ms;
            let relayed = proof.forward(NEWEST, at(relayed_ms + offset)).expect("a proof");
            let echo = HeartbeatEcho { sent: at(requested_ms + delays.clock_offset_ms).0, held_ms: delays.held_ms as u32 };
            let mut received = FreshnessProof::default();
            received.accept_forwarded(&relayed, &echo, NEWEST);
            (proof, offset) = (received, delays.clock_offset_ms);
            now = relayed_ms + delays.reply_ms;
        }
        let now = now + wait_ms;
        if proof.is_fresh(RULE, at(now + offset)) {
            prop_assert!(now <= sent + 5_000, "{now}");
        }
    }
}
