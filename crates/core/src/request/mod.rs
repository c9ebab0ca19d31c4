//! Life cycle of requests, retries, idempotency tokens and callers' idempotency keys.
//!
//! A request can end as "not run" only if it was never handed to a transport, if the daemon that it was sent to
//! returned it with a proof that it was not run there, or if the target stated that it did not run it. Every other
//! request ends with an answer, a failure reported by the target, or "outcome unknown".

mod keys;
mod lifecycle;
mod retry;
mod tokens;

pub use keys::{ClaimOutcome, KeyClaim, KeyHash, KeyTable};
pub use lifecycle::{NotRunProof, NotRunReason, RequestCall, RequestOutcome, Sent, Unsent};
pub use retry::{AttemptEnd, RetryBudget, RetryDecision, RetryInput, RetryLimits, decide_retry};
pub use tokens::{
    DedupKey, IdempotencyToken, TokenDecision, TokenError, TokenRegistry, TokenState,
    TransferredTokens,
};
