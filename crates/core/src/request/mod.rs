//! The life cycle of a request, idempotency tokens and callers' keys.
//!
//! "Not run" can only be made from a request that was never handed to a transport, or that the daemon it was handed
//! to gave back with the same proof. Everything else ends as an answer, a failure that the target stated, or
//! "outcome unknown".

mod keys;
mod life_cycle;
mod retry;
mod tokens;

pub use keys::{ClaimOutcome, KeyClaim, KeyHash, KeyTable};
pub use life_cycle::{NotRunProof, NotRunReason, RequestCall, RequestOutcome, Sent, Unsent};
pub use retry::{AttemptEnd, RetryBudget, RetryDecision, RetryInput, RetryLimits, decide_retry};
pub use tokens::{
    DedupKey, IdempotencyToken, TokenDecision, TokenError, TokenRegistry, TokenState,
    TransferredTokens,
};
