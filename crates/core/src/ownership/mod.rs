//! Which daemon holds a target, and what it may order there.
//!
//! Safety rests on the order of the log and on acknowledgements, never on clocks (docs/DESIGN.md, section 2):
//!
//! 1. A takeover names the token of the holder that it replaces; the fold accepts it only while that is the holder.
//! 2. On a target that checks fencing tokens, a holder dispatches only after the target acknowledged its token.
//! 3. On one that does not, an unload is announced in the log and sent only after the holder read its own
//!    announcement back while it is still the holder.
//! 4. Until every predecessor is settled, a holder unloads nothing.
//! 5. An announcement that turns up after its holder gave it up is closed, never acted on.

mod assignment;
mod fold;
mod lease;

pub use assignment::{AssignmentInput, plan_takeovers};
pub use fold::{HolderLease, OpenIntent, OwnershipEffect, OwnershipState, TargetOwnership};
pub use lease::{
    FenceState, HeldTarget, SettleEvidence, UnloadPermit, UnloadRefusal, is_predecessor_settled,
};
