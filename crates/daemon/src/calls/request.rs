//! Requests to a holder or to another gateway.

use hoplanding_core::{
    config::RequestRepeatability,
    ids::{AdapterVersion, CallerName, PriorityClass, RequestId, ServiceName, TargetName},
};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::{
    fmt,
    hash::{Hash, Hasher},
};

/// Id of a call between daemons: one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from zero.
    pub attempt: u32,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.attempt)
    }
}

/// A request to a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineWork {
    /// Resolved adapter and version.
    pub model: AdapterVersion,
    /// Whether the request goes to the chat interface.
    pub chat: bool,
    /// The caller's body as JSON; the holder sets the model, stream, priority and token limit.
    pub body: String,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate.
    pub output_tokens: u32,
}

/// A request to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// Name of the service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query, without the gateway's `/services/NAME` prefix.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: bytes::Bytes,
}

/// Payload of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallWork {
    /// Request to a model engine.
    Engine(EngineWork),
    /// Request to a plain service.
    Service(ServiceWork),
}

/// Whether to run a request or to resume its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunMode {
    /// Runs the request.
    Run,
    /// Reads the rest of a stream from the target without running anything.
    Resume {
        /// Name of the stream at the target.
        stream: String,
        /// Index of the first missing token.
        from: u64,
    },
}

/// Request from a gateway to a target's holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecuteRequest {
    /// Id of the call.
    pub call: CallId,
    /// Target to run on.
    pub target: TargetName,
    /// Whether to run or to resume.
    pub mode: RunMode,
    /// Priority class.
    pub class: PriorityClass,
    /// Name of the caller.
    pub caller: CallerName,
    /// Remaining time until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Payload of the request.
    pub work: CallWork,
}

/// Request from a caller to a gateway, possibly forwarded by another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Name of the caller.
    pub caller: CallerName,
    /// Priority class.
    pub class: PriorityClass,
    /// Whether the request may be repeated.
    #[serde(rename = "rule")]
    pub repeatability: RequestRepeatability,
    /// Idempotency token or key of the caller.
    pub idempotency: Option<String>,
    /// Remaining time until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Payload of the request.
    pub work: CallWork,
}

impl SubmitRequest {
    /// Returns a hash of caller and payload, which detects different requests with the same token or key.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        self.caller.hash(&mut hasher);
        match &self.work {
            CallWork::Engine(work) => (&work.model, &work.body).hash(&mut hasher),
            CallWork::Service(work) => {
                (&work.service, &work.method, &work.path, &work.body).hash(&mut hasher)
            }
        }
        hasher.finish()
    }

    /// Returns the largest number of output tokens; one for a plain service.
    #[must_use]
    pub fn output_tokens(&self) -> u32 {
        match &self.work {
            CallWork::Engine(work) => work.output_tokens,
            CallWork::Service(_) => 1,
        }
    }
}
