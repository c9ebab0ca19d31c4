//! Reads of the fleet topic as proof of a claim.

use hoplanding_core::{
    direct::{
        freshness::HeartbeatEcho,
        lease::{LeaseState, ZoneLease},
        lease_read::{ForwardedRead, LeaseRead},
    },
    ids::{Instant, LogOffset, LogPosition, StoreEra, VmName},
};

const WAIT_END: Instant = Instant(5_000_000);

fn position(era: u64, offset: u64) -> LogPosition {
    LogPosition::in_era(StoreEra(era), LogOffset(offset))
}

fn claim() -> LeaseState {
    let mut state = LeaseState::default();
    let lease = ZoneLease {
        vm: Some(VmName::new("vm-1")),
        incarnation: 1,
        address: "127.0.0.1:9".parse().expect("an address"),
        era: Some(StoreEra(2)),
        waits_since_ms: Some(1),
    };
    assert!(state.apply(position(2, 4), Some(lease)));
    state
}

fn read() -> LeaseRead {
    LeaseRead {
        newest: position(2, 4),
        end: position(2, 5),
        sent_at: WAIT_END,
    }
}

/// Guards against a claim that counts as confirmed although the log was restored, another VM claimed the zone, or neither could be
/// seen yet.
#[test]
fn only_a_later_read_in_the_same_era_without_a_newer_record_proves_a_claim() {
    assert!(read().proves(&claim(), WAIT_END));
    let others = [
        LeaseRead {
            sent_at: Instant(WAIT_END.0 - 1),
            ..read()
        },
        LeaseRead {
            end: position(3, 5),
            ..read()
        },
        LeaseRead {
            newest: position(2, 6),
            end: position(2, 7),
            ..read()
        },
        LeaseRead {
            newest: position(1, 0),
            ..read()
        },
    ];
    for other in others {
        assert!(!other.proves(&claim(), WAIT_END), "{other:?}");
    }
}

/// Guards against a forwarded read that counts as later than it was sent, because the clocks of two VMs differ or a message was
/// delayed.
#[test]
fn forwarded_read_is_dated_by_the_echoed_heartbeat() {
    let sent_at = Instant(70_000_000);
    let own = LeaseRead { sent_at, ..read() };
    let forwarded = own.forward(Instant(70_300_001)).expect("a recent read");
    assert_eq!(forwarded.age_ms, 301);
    let echo = HeartbeatEcho {
        sent: WAIT_END.0,
        held_ms: 400,
    };
    let dated = LeaseRead::from_forwarded(&forwarded, &echo).expect("a time");
    assert_eq!(dated.sent_at, Instant(WAIT_END.0 + 99_000));
    assert!(dated.proves(&claim(), WAIT_END));
    let older = ForwardedRead {
        age_ms: 401,
        ..forwarded
    };
    let dated = LeaseRead::from_forwarded(&older, &echo).expect("a time");
    assert!(!dated.proves(&claim(), WAIT_END));
}
