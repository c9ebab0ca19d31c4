//! Target ownership: which daemon holds a target, and which orders it may send there.
//!
//! Safety depends on the order of records in the log and on acknowledgements of targets, never on clocks
//! (docs/DESIGN.md, section 2):
//!
//! 1. A takeover names the fencing token of the holder that it replaces, and is accepted only while that daemon is
//!    still the holder.
//! 2. On a target that checks fencing tokens, a holder dispatches only after the target has acknowledged its token.
//! 3. On a target that does not, an unload is announced in the log as an intent, and sent only after the holder has
//!    read its own intent back while it is still the holder.
//! 4. A holder unloads nothing until every former holder is settled, that is, has nothing sent or running on the
//!    target.
//! 5. An intent that appears in the log after its holder abandoned it is closed, never executed.

mod assignment;
mod fold;
mod lease;

pub use assignment::{AssignmentInput, plan_takeovers};
pub use fold::{HolderLease, OpenIntent, OwnershipEffect, OwnershipState, TargetOwnership};
pub use lease::{
    FenceState, HeldTarget, SettleEvidence, UnloadPermit, UnloadRefusal, is_predecessor_settled,
};
