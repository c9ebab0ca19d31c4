//! What is asked of a holder or of another gateway.

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

/// One attempt of a request, as a call between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId {
    /// The request.
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
    /// The adapter and version.
    pub model: AdapterVersion,
    /// Whether it goes to the chat interface.
    pub chat: bool,
    /// The caller's body as JSON; model, stream and priority are set by the holder.
    pub body: String,
    /// Prompt tokens, estimated.
    pub prompt_tokens: u32,
    /// Tokens that it may generate.
    pub output_tokens: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// The service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers that are passed through.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: bytes::Bytes,
}

/// The work of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallWork {
    /// To a model engine.
    Engine(EngineWork),
    /// To a plain service.
    Service(ServiceWork),
}

/// Whether a request is to run, or only the rest of its answer is wanted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunMode {
    /// Run it.
    Run,
    /// Ask the target for the rest of a stream; this runs nothing.
    Resume {
        /// Name of the stream at the target.
        stream: String,
        /// First token that is missing.
        from: u64,
    },
}

/// What a gateway asks of a target's holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecuteRequest {
    /// The call.
    pub call: CallId,
    /// The target.
    pub target: TargetName,
    /// Run, or resume.
    pub mode: RunMode,
    /// Its class.
    pub class: PriorityClass,
    /// The caller.
    pub caller: CallerName,
    /// Milliseconds that are left for it.
    pub deadline_ms: u64,
    /// What is to be done.
    pub work: CallWork,
}

/// What a caller asks of a gateway, possibly forwarded by another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// The caller.
    pub caller: CallerName,
    /// Its class.
    pub class: PriorityClass,
    /// Whether it may be repeated.
    pub rule: RequestRepeatability,
    /// The caller's idempotency token or key.
    pub idempotency: Option<String>,
    /// Milliseconds that are left for it.
    pub deadline_ms: u64,
    /// What is to be done.
    pub work: CallWork,
}

impl SubmitRequest {
    /// Number that tells two requests apart that carry the same token or key.
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

    /// Output tokens that it may generate; one for a plain service.
    #[must_use]
    pub fn output_tokens(&self) -> u32 {
        match &self.work {
            CallWork::Engine(work) => work.output_tokens,
            CallWork::Service(_) => 1,
        }
    }
}
