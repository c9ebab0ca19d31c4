//! In a zone of any size nobody is blind: each VM reads the platform's log, or hears one that does.
//!
//! What callers saw: calls ran at a target for 2.3 s after it had said that it leaves, 2 s being allowed. It said so as a
//! fleet of three zones of six VMs each had just started. What happens: every VM lists the targets, and then waits for its
//! link to the zone's holder rather than read what that is about to pass on. The holder waited as well. In a zone of up to
//! four VMs two stand-ins read meanwhile; in a larger one nobody read anything, for the first three seconds.
//!
//! Evidence: seed 7101 of the soak with 18 VMs. The daemons start at 68.207 s, the target leaves at 69.2 s, and the first line
//! that names the change is E720 of vm-0 with `Read` at 71.338 s, 3.13 s after its E100. All other 17 VMs write E720 with
//! `Passed` in the same millisecond. With four VMs a zone, or after those three seconds, no call came late.

use hoplanding_core::direct::log_readers::{HolderPresence, LINK_GRACE, ReaderView};
use proptest::prelude::*;
use std::time::Duration;

/// Time within which every VM knows that a target leaves: the users' `drain_ms`, at the least.
const LEAVING_KNOWN: Duration = Duration::from_secs(2);
/// Time that a read of the list takes to find a new record, with the pause before it.
const READ_TIME: Duration = Duration::from_millis(700);

fn sight() -> impl Strategy<Value = HolderPresence> {
    prop_oneof![
        Just(HolderPresence::Myself),
        Just(HolderPresence::Heard),
        Just(HolderPresence::Silent),
        Just(HolderPresence::Vacant),
    ]
}

fn view() -> impl Strategy<Value = ReaderView> {
    let numbers = (0..6_000_u64, 1..400_usize, 0..400_u32, any::<bool>());
    (sight(), numbers).prop_map(|(holder, (age_ms, zone_vms, rank, is_asked))| ReaderView {
        age: Duration::from_millis(age_ms),
        holder,
        rank,
        zone_vms,
        is_backup_requested: is_asked,
    })
}

proptest! {
    #[test]
    fn a_holder_reads_from_its_start_on(view in view()) {
        prop_assert!(view.holder != HolderPresence::Myself || view.must_read(), "{view:?}");
    }

    #[test]
    fn whoever_hears_no_holder_reads_in_time(view in view()) {
        let has_waited = view.age + READ_TIME >= LEAVING_KNOWN;
        let is_blind = view.holder != HolderPresence::Heard && !view.must_read();
        prop_assert!(!(has_waited && is_blind), "{view:?}");
    }
}

/// A zone that starts at once, its VMs linked to the holder one after another: at each moment somebody reads whom the others
/// hear, and the others leave the log alone.
#[test]
fn a_zone_that_starts_has_one_reader_whom_the_others_hear() {
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
fn a_vm_gives_its_first_link_time_to_come_up() {
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
