//! Which VMs of a zone read the platform's log.
//!
//! The holder of a zone reads and passes on what it reads; a few others stand in for it in a small zone, or while the log
//! turns a VM away. Everybody else hears the holder. Whoever neither reads nor hears a holder goes on with what it knew,
//! and sends calls to targets that have left: so that may last for less than the 2 s within which a leaving target has
//! to be known.

use std::time::Duration;

/// Time after its start for which a VM waits for its link to the holder rather than read what that is about to pass on.
/// A VM links within 0.6 s where the holder lives; half of the 2 s are left for the read.
pub const LINK_GRACE: Duration = Duration::from_secs(1);
/// VMs of a small zone that read the log beside its holder.
const STAND_INS: u32 = 2;
/// VMs of a zone up to which it counts as small. In a larger one stand-ins would inform hardly anybody: the others hear
/// the holder, and read themselves once they do not.
const SMALL_ZONE: usize = 4;
/// VMs of a zone that read the log while another VM can't.
const ANSWERERS: u32 = 3;

/// What a VM sees of its zone's holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderPresence {
    /// It is the holder itself.
    Myself,
    /// It hears the holder.
    Heard,
    /// There is a holder, and it is not heard.
    Silent,
    /// No holder is recorded.
    Vacant,
}

/// What a VM knows of itself and its zone when it decides whether to read a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderView {
    /// Time since its process started.
    pub age: Duration,
    /// Its zone's holder.
    pub holder: HolderPresence,
    /// Its place among the others of its zone, the strongest first.
    pub rank: u32,
    /// VMs of its zone.
    pub zone_vms: usize,
    /// Whether another VM has said lately that the log turns it away.
    pub is_backup_requested: bool,
}

impl ReaderView {
    /// Whether the VM reads the topic itself.
    #[must_use]
    pub fn must_read(&self) -> bool {
        let is_stand_in = self.zone_vms <= SMALL_ZONE && self.rank < STAND_INS;
        let reads_for_others = self.is_backup_requested && self.rank < ANSWERERS;
        match self.holder {
            HolderPresence::Myself => true,
            HolderPresence::Heard => is_stand_in || reads_for_others,
            HolderPresence::Silent | HolderPresence::Vacant => {
                is_stand_in || self.age >= LINK_GRACE
            }
        }
    }
}
