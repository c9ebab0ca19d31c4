//! Typestates of a request.

use crate::ids::RequestId;
use serde::{Deserialize, Serialize};
use std::{fmt, marker::PhantomData};

/// The request was never handed to a transport.
#[derive(Debug)]
pub struct Unsent;

/// The request was handed to a transport: it may be running.
#[derive(Debug)]
pub struct Sent;

/// A request in one state of its life.
#[derive(Debug)]
#[must_use]
pub struct RequestCall<State> {
    id: RequestId,
    attempts: u32,
    state: PhantomData<State>,
}

/// Why a request was not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum NotRunReason {
    /// A queue is full.
    #[error("too much work is waiting: come back after {retry_after_ms} ms")]
    Overloaded { retry_after_ms: u64 },
    /// The caller's quota is used up.
    #[error(
        "the quota of caller `{caller}` is used up: come back after {retry_after_ms} ms, or ask an operator for `set quota`"
    )]
    QuotaUsedUp { caller: String, retry_after_ms: u64 },
    /// No target can serve it.
    #[error("no target can serve it now: come back after {retry_after_ms} ms")]
    NoTarget { retry_after_ms: u64 },
    /// The daemon asked is not the holder.
    #[error("the daemon asked no longer holds the target: ask another one")]
    NotHolder,
    /// The daemon is about to stop.
    #[error("the daemon is stopping: ask another one")]
    Stopping,
    /// The load of the adapter failed.
    #[error("the adapter could not be loaded: come back after {retry_after_ms} ms")]
    LoadFailed { retry_after_ms: u64 },
    /// The caller's deadline passed while it waited.
    #[error(
        "the deadline passed while it waited: allow more time or come back after {retry_after_ms} ms"
    )]
    DeadlinePassed { retry_after_ms: u64 },
    /// The caller went away while it waited.
    #[error("the caller cancelled it before it was sent")]
    Cancelled,
    /// The log is out, so that the caller's own key can't be claimed.
    #[error(
        "the platform's log is out, so your key can't be claimed: ask for a token with `POST /v1/idempotency_tokens` and send that instead"
    )]
    KeyNotClaimed,
    /// The target states that it did not run it.
    #[error("the target did not run it ({cause}): try again")]
    TargetRefused { cause: String },
    /// No connection to the target could be made.
    #[error("no connection to the target could be made: try again")]
    NotConnected,
}

impl NotRunReason {
    /// When the caller should come back, in milliseconds.
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

/// Proof that a request was not run; made by a daemon that still had it unsent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRunProof {
    id: RequestId,
    /// Why it was not run.
    pub reason: NotRunReason,
}

impl NotRunProof {
    /// The request that was not run.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.id
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// It was answered in full.
    Answered,
    /// It was not run.
    NotRun(NotRunProof),
    /// The target stated that it failed.
    Failed(String),
    /// It may or may not have run.
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
    /// A request that was just admitted.
    pub fn new(id: RequestId) -> Self {
        Self {
            id,
            attempts: 0,
            state: PhantomData,
        }
    }

    /// The last step before a byte of it may reach a transport.
    pub fn mark_sent(self) -> RequestCall<Sent> {
        RequestCall {
            id: self.id,
            attempts: self.attempts + 1,
            state: PhantomData,
        }
    }

    /// Refuses it; the proof is worth something because this value was never handed over.
    #[must_use]
    pub fn refuse(self, reason: NotRunReason) -> NotRunProof {
        NotRunProof {
            id: self.id,
            reason,
        }
    }
}

impl RequestCall<Sent> {
    /// The daemon that it was handed to gave it back unsent.
    ///
    /// # Errors
    /// Returns the request as it was if the proof is for another one.
    pub fn given_back(self, proof: &NotRunProof) -> Result<RequestCall<Unsent>, Self> {
        if proof.id != self.id {
            return Err(self);
        }
        Ok(RequestCall {
            id: self.id,
            attempts: self.attempts,
            state: PhantomData,
        })
    }

    /// The target stated that it did not run it: the one proof that comes from outside.
    #[must_use]
    pub fn refused_by_target(self, reason: NotRunReason) -> NotRunProof {
        NotRunProof {
            id: self.id,
            reason,
        }
    }

    /// Starts another attempt of a request that may be repeated.
    pub fn repeat(self) -> RequestCall<Sent> {
        RequestCall {
            id: self.id,
            attempts: self.attempts + 1,
            state: PhantomData,
        }
    }

    /// It was answered in full.
    #[must_use]
    pub fn answered(self) -> RequestOutcome {
        RequestOutcome::Answered
    }

    /// The target stated a failure.
    #[must_use]
    pub fn failed(self, cause: &str) -> RequestOutcome {
        RequestOutcome::Failed(cause.to_owned())
    }

    /// Nobody can say what became of it.
    #[must_use]
    pub fn unknown(self, cause: &str) -> RequestOutcome {
        RequestOutcome::Unknown(cause.to_owned())
    }
}

impl<State> RequestCall<State> {
    /// Its id.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// How often it was handed to a transport.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }
}
