//! Decides which VMs of a zone read the platform's log.
//!
//! The holder of a zone reads the log and forwards what it reads. A few other VMs also read it in a small zone, or
//! while the log refuses another VM. All others receive the records from the holder. A VM that neither reads nor hears
//! a holder continues with its last state and sends calls to targets that have left, so this must last less than the 2
//! s within which a leaving target has to be known.

use std::time::Duration;

/// Time after its start during which a VM waits for its link to the holder instead of reading records that the holder
/// is about to forward. Linking takes up to 0.6 s if the holder is alive, and half of the 2 s remain for the read.
pub const LINK_GRACE: Duration = Duration::from_secs(1);
/// VMs of a small zone that read the log beside its holder.
const SMALL_ZONE_READERS: u32 = 2;
/// Largest zone that counts as small. In a larger zone standby readers would have hardly anyone to inform: the other
/// VMs hear the holder, and read for themselves once they do not.
const MAX_SMALL_ZONE_VMS: usize = 4;
/// VMs of a zone that read the log while it refuses another VM.
const BACKUP_READERS: u32 = 3;

/// State of a zone's holder as a VM sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderPresence {
    /// This VM is the holder.
    Myself,
    /// Heartbeats of the holder arrive.
    Heard,
    /// A holder is recorded, but no heartbeats arrive.
    Silent,
    /// No holder is recorded.
    Vacant,
}

/// State of a VM and its zone that decides whether the VM reads a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderView {
    /// Time since the VM's process started.
    pub age: Duration,
    /// Holder of the zone.
    pub holder: HolderPresence,
    /// Rank of the VM among the others of its zone, the one with the most CPU first.
    pub rank: u32,
    /// Number of VMs in the zone.
    pub zone_vms: usize,
    /// Whether another VM recently reported that the log refuses it.
    pub is_backup_requested: bool,
}

impl ReaderView {
    /// Whether the VM reads the topic itself.
    #[must_use]
    pub fn must_read(&self) -> bool {
        let is_standby_reader =
            self.zone_vms <= MAX_SMALL_ZONE_VMS && self.rank < SMALL_ZONE_READERS;
        let is_backup_reader = self.is_backup_requested && self.rank < BACKUP_READERS;
        match self.holder {
            HolderPresence::Myself => true,
            HolderPresence::Heard => is_standby_reader || is_backup_reader,
            HolderPresence::Silent | HolderPresence::Vacant => {
                is_standby_reader || self.age >= LINK_GRACE
            }
        }
    }
}
