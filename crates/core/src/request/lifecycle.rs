//! Life cycle of a request as typestates.
//!
//! A [`NotRunProof`] can be created only from a request that has not reached a transport, or from a refusal by the
//! target, so a request that may have run is never reported as not run.

use crate::ids::RequestId;
use serde::{Deserialize, Serialize};
use std::{fmt, marker::PhantomData};

/// State of a request that was not handed to a transport, or that the receiving daemon returned as not run.
#[derive(Debug)]
pub struct Unsent;

/// State of a request that was handed to a transport and may be running.
#[derive(Debug)]
pub struct Sent;

/// Request in state [`Unsent`] or [`Sent`].
#[derive(Debug)]
#[must_use]
pub struct RequestCall<State> {
    id: RequestId,
    attempts: u32,
    state: PhantomData<State>,
}

/// Reason why a request was not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum NotRunReason {
    /// A queue has reached its limit.
    #[error("too much work is waiting: come back after {retry_after_ms} ms")]
    Overloaded { retry_after_ms: u64 },
    /// The caller has exhausted its quota.
    #[error(
        "the quota of caller `{caller}` is used up: come back after {retry_after_ms} ms, or ask an operator for `set quota`"
    )]
    QuotaUsedUp { caller: String, retry_after_ms: u64 },
    /// No target can serve the request.
    #[error("no target can serve it now: come back after {retry_after_ms} ms")]
    NoTarget { retry_after_ms: u64 },
    /// The daemon that received the request does not hold the target.
    #[error("the daemon asked no longer holds the target: ask another one")]
    NotHolder,
    /// The daemon is shutting down.
    #[error("the daemon is stopping: ask another one")]
    Stopping,
    /// The adapter could not be loaded.
    #[error("the adapter could not be loaded: come back after {retry_after_ms} ms")]
    LoadFailed { retry_after_ms: u64 },
    /// The caller's deadline passed while the request was queued.
    #[error(
        "the deadline passed while it waited: allow more time or come back after {retry_after_ms} ms"
    )]
    DeadlinePassed { retry_after_ms: u64 },
    /// The caller cancelled the request while it was queued.
    #[error("the caller cancelled it before it was sent")]
    Cancelled,
    /// The platform's log is unavailable, so the caller's own key cannot be claimed.
    #[error(
        "the platform's log is out, so your key can't be claimed: ask for a token with `POST /v1/idempotency_tokens` and send that instead"
    )]
    KeyNotClaimed,
    /// The target stated that it did not run the request.
    #[error("the target did not run it ({cause}): try again")]
    TargetRefused { cause: String },
    /// The connection to the target could not be established.
    #[error("no connection to the target could be made: try again")]
    NotConnected,
}

impl NotRunReason {
    /// Time after which the caller should retry, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(&self) -> u64 {
        match self {
            Self::Overloaded { retry_after_ms }
            | Self::QuotaUsedUp { retry_after_ms, .. }
            | Self::NoTarget { retry_after_ms }
            | Self::LoadFailed { retry_after_ms }
            | Self::DeadlinePassed { retry_after_ms } => *retry_after_ms,
            Self::TargetRefused { .. }
            | Self::NotHolder
            | Self::Stopping
            | Self::Cancelled
            | Self::KeyNotClaimed
            | Self::NotConnected => 500,
        }
    }
}

/// Proof that a request was not run, created by the daemon that refused it unsent or by a refusal of the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRunProof {
    id: RequestId,
    /// Reason why the request was not run.
    pub reason: NotRunReason,
}

impl NotRunProof {
    /// Id of the request that was not run.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.id
    }
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The answer is complete.
    Answered,
    /// The request provably did not run.
    NotRun(NotRunProof),
    /// The target reported a failure, with this cause.
    Failed(String),
    /// The request may or may not have run, for this cause.
    Unknown(String),
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered => f.write_str("answered"),
            Self::NotRun(proof) => write!(f, "not run: {}", proof.reason),
            Self::Failed(cause) => write!(f, "failed: {cause}"),
            Self::Unknown(cause) => write!(f, "outcome unknown: {cause}"),
        }
    }
}

impl RequestCall<Unsent> {
    /// Creates a request that was just admitted.
    pub fn new(id: RequestId) -> Self {
        Self {
            id,
            attempts: 0,
            state: PhantomData,
        }
    }

    /// Marks the request as sent; must be called before any byte of it may reach a transport.
    pub fn mark_sent(self) -> RequestCall<Sent> {
        RequestCall {
            id: self.id,
            attempts: self.attempts + 1,
            state: PhantomData,
        }
    }

    /// Refuses the request. The proof is valid because an unsent request cannot have run.
    #[must_use]
    pub fn refuse(self, reason: NotRunReason) -> NotRunProof {
        NotRunProof {
            id: self.id,
            reason,
        }
    }
}

impl RequestCall<Sent> {
    /// Takes the request back from the daemon that it was sent to, which proved that it did not run it.
    ///
    /// # Errors
    /// Returns the request unchanged if the proof is for another request.
    pub fn into_unsent(self, proof: &NotRunProof) -> Result<RequestCall<Unsent>, Self> {
        if proof.id != self.id {
            return Err(self);
        }
        Ok(RequestCall {
            id: self.id,
            attempts: self.attempts,
            state: PhantomData,
        })
    }

    /// Ends the request with the target's statement that it did not run it, the only proof that rests on the word of a
    /// target.
    #[must_use]
    pub fn refused_by_target(self, reason: NotRunReason) -> NotRunProof {
        NotRunProof {
            id: self.id,
            reason,
        }
    }

    /// Starts another attempt of a repeatable request.
    pub fn repeat(self) -> RequestCall<Sent> {
        RequestCall {
            id: self.id,
            attempts: self.attempts + 1,
            state: PhantomData,
        }
    }

    /// Ends the request with a complete answer.
    #[must_use]
    pub fn answered(self) -> RequestOutcome {
        RequestOutcome::Answered
    }

    /// Ends the request with a failure that the target reported.
    #[must_use]
    pub fn failed(self, cause: &str) -> RequestOutcome {
        RequestOutcome::Failed(cause.to_owned())
    }

    /// Ends the request with an unknown outcome.
    #[must_use]
    pub fn unknown(self, cause: &str) -> RequestOutcome {
        RequestOutcome::Unknown(cause.to_owned())
    }
}

impl<State> RequestCall<State> {
    /// Id of the request.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Number of times the request was handed to a transport.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }
}
