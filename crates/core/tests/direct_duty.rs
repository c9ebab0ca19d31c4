//! Every VM either reads the platform's log or hears a VM that does, in a zone of any size.
//!
//! Guards against calls to a target for longer than the allowed 2 s after it announced that it is leaving: 2.3 s in a
//! fleet of three zones with six VMs each that had just started. A VM that starts lists the targets and then waits for
//! its link to the holder instead of reading what the holder is about to forward. If the holder waits as well, standby
//! readers cover a zone of up to four VMs, but in a larger zone no VM reads the log for the first 3 s.

use hoplanding_core::direct::log_readers::{HolderPresence, LINK_GRACE, ReaderView};
use proptest::prelude::*;
use std::time::Duration;

/// Time within which every VM must know that a target is leaving; the smallest `drain_ms`.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(2);
/// Time that a read of the list takes to find a new record, including the pause before it.
const READ_TIME: Duration = Duration::from_millis(700);

fn holder_presence() -> impl Strategy<Value = HolderPresence> {
    prop_oneof![
        Just(HolderPresence::Myself),
        Just(HolderPresence::Heard),
        Just(HolderPresence::Silent),
        Just(HolderPresence::Vacant),
    ]
}

fn reader_view() -> impl Strategy<Value = ReaderView> {
    let fields = (0..6_000_u64, 1..400_usize, 0..400_u32, any::<bool>());
    (holder_presence(), fields).prop_map(
        |(holder, (age_ms, zone_vms, rank, is_backup_requested))| ReaderView {
            age: Duration::from_millis(age_ms),
            holder,
            rank,
            zone_vms,
            is_backup_requested,
        },
    )
}

proptest! {
    #[test]
    fn holder_reads_from_its_start(view in reader_view()) {
        prop_assert!(view.holder != HolderPresence::Myself || view.must_read(), "{view:?}");
    }

    #[test]
    fn vm_that_hears_no_holder_reads_in_time(view in reader_view()) {
        let is_deadline_reached = view.age + READ_TIME >= MAX_LEAVING_DELAY;
        let is_uninformed = view.holder != HolderPresence::Heard && !view.must_read();
        prop_assert!(!(is_deadline_reached && is_uninformed), "{view:?}");
    }
}

/// The VMs of a zone start together and link to the holder one after another. One VM reads at any time, the others hear
/// it and must not add load to the log.
#[test]
fn starting_zone_always_has_one_reader() {
    for zone_vms in 5..=60_u32 {
        for age_ms in (0..4_000).step_by(100) {
            let views = (0..zone_vms).map(|rank| ReaderView {
                age: Duration::from_millis(age_ms),
                holder: if rank == 0 {
                    HolderPresence::Myself
                } else {
                    HolderPresence::Heard
                },
                rank: rank.saturating_sub(1),
                zone_vms: zone_vms as usize,
                is_backup_requested: false,
            });
            let readers = views.filter(ReaderView::must_read).count();
            assert_eq!(readers, 1, "{zone_vms} VMs, {age_ms} ms after the start");
        }
    }
}

#[test]
fn vm_waits_for_its_first_link() {
    let mut view = ReaderView {
        age: LINK_GRACE / 2,
        holder: HolderPresence::Silent,
        rank: 5,
        zone_vms: 30,
        is_backup_requested: false,
    };
    assert!(!view.must_read());
    view.age = LINK_GRACE;
    assert!(view.must_read());
}
