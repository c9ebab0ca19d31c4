//! Finding out whether a target crashed while it ran a call, and reporting it to the holders and the platform's log.
//!
//! A broken connection alone is no evidence: the target may have closed it, or the network may be partitioned. A target counts
//! as crashed when its address refuses connections or another target answers there.

use crate::{
    direct::{
        call::CallState,
        paths::monitor::check_request,
        target_connections::{
            ConnectRule, PathRule, ReuseRule, SendError, TargetRequest, UnsentReason, exchange,
        },
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::direct::{
    catalog::TargetEntry,
    suspects::{RequestFingerprint, TargetCrash},
};
use hoplanding_platform::{message_heads::CallHead, orders::encode_report_request};
use http::{Method, StatusCode, Uri};
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Time limits of a probe, for the connection and for connection and answer together. A live target answers within a few
/// milliseconds, and the call waits for the verdict before it is retried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
const PROBE_RULE: ConnectRule = ConnectRule {
    reuse: ReuseRule::Never,
    path: PathRule::Any,
    within: CONNECT_TIMEOUT,
    lifetime: PROBE_TIMEOUT,
};
/// Pause before an inconclusive probe is repeated.
const REPROBE_DELAY: Duration = Duration::from_millis(50);
/// Largest answer that a probe reads.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Hash of what a request asks for. The request id and the deadline are left out because they differ on every retry.
pub(super) fn request_fingerprint(
    method: &Method,
    uri: &Uri,
    head: &CallHead,
    body: &[u8],
) -> RequestFingerprint {
    let mut hasher = SipHasher13::new();
    method.as_str().hash(&mut hasher);
    uri.path().hash(&mut hasher);
    uri.query().hash(&mut hasher);
    head.subject.hash(&mut hasher);
    head.prompt_tokens.hash(&mut hasher);
    head.max_output_tokens.hash(&mut hasher);
    head.prompt_prefix.hash(&mut hasher);
    body.hash(&mut hasher);
    RequestFingerprint(hasher.finish())
}

/// Result of probing a target after it broke a call off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeVerdict {
    /// Nothing listens at its address, or another target answers there.
    Crashed,
    /// The target answers.
    Alive,
    /// No answer: the target may be crashing or merely busy.
    Unknown,
}

/// How far a target had got with the answer that it broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProgress {
    /// It may just have begun the answer, as the cause of a crash does.
    Begun,
    /// It had been writing the answer for a while.
    UnderWay,
}

impl CallState {
    /// Probes a target that broke this call off. If it has crashed, reports that to all holders and to the log before the
    /// call is placed again or its caller answered. During a trial a target that does not answer counts as crashed.
    pub async fn probe_after_failure(
        &self,
        entry: &TargetEntry,
        is_trial: bool,
        progress: AnswerProgress,
    ) {
        let mut verdict = self.probe(entry).await;
        if verdict == ProbeVerdict::Unknown {
            // A crashing target's connections may close shortly before its address stops accepting.
            sleep(REPROBE_DELAY).await;
            verdict = self.probe(entry).await;
        }
        let is_presumed_crashed = verdict == ProbeVerdict::Unknown && is_trial;
        if verdict != ProbeVerdict::Crashed {
            event!(Event::TargetEndUnconfirmed, request = self.head.id; "at {}, fingerprint {:016x}: {verdict:?}, trial {is_trial}", entry.name, self.fingerprint.0
            );
            if !is_presumed_crashed {
                return;
            }
        }
        event!(Event::TargetEndedDuringRequest, request = self.head.id; "at {}, fingerprint {:016x}, {progress:?}, prompt {:x?}", entry.name, self.fingerprint.0, self.head.prompt_prefix
        );
        let mut suspects = vec![self.fingerprint];
        if progress == AnswerProgress::Begun {
            suspects.extend(RequestFingerprint::of_shared_parts(
                &self.head.prompt_prefix,
            ));
        }
        for fingerprint in &suspects {
            let crash = TargetCrash {
                fingerprint: *fingerprint,
                run: entry.run(),
                is_trial,
            };
            if self.context.fleet.record_crash(&crash) {
                self.context.holder_client.report_crash(&crash);
            }
        }
        self.context.records.record_all(&suspects).await;
    }

    /// Whether a target answers this VM now.
    pub async fn is_answering(&self, entry: &TargetEntry) -> bool {
        let checks = &self.context.pool.answer_checks;
        checks.result(entry.address, self.check_answer(entry)).await
    }

    /// Asks a target once for its report or health check. One that asked this VM to back off, or has neither, answers if it
    /// accepts a connection.
    async fn check_answer(&self, entry: &TargetEntry) -> bool {
        let request = check_request(entry, &self.service)
            .filter(|_| !self.context.fleet.is_backing_off(&entry.run()));
        let Some(request) = request else {
            return self.probe(entry).await == ProbeVerdict::Alive;
        };
        let answer = timeout(PROBE_TIMEOUT, self.ask(entry, request)).await;
        matches!(answer, Ok(Ok(_)))
    }

    /// Sends a target a request of this VM's own over a new connection.
    async fn ask(
        &self,
        entry: &TargetEntry,
        request: TargetRequest,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let context = &self.context;
        exchange(
            &context.fleet,
            &context.pool,
            entry,
            request,
            PROBE_RULE,
            MAX_ANSWER_BYTES,
        )
        .await
    }

    /// Whether a target has ended, by one probe.
    pub async fn has_ended(&self, entry: &TargetEntry) -> bool {
        self.probe(entry).await == ProbeVerdict::Crashed
    }

    /// Probes once. An engine that asked this VM to back off is not sent a report request; a connection attempt is enough.
    async fn probe(&self, entry: &TargetEntry) -> ProbeVerdict {
        let probe = async {
            if self.service.engine.is_some() && !self.context.fleet.is_backing_off(&entry.run()) {
                self.probe_report(entry).await
            } else {
                self.probe_connection(entry).await
            }
        };
        let probed = timeout(PROBE_TIMEOUT, probe).await;
        probed.unwrap_or(ProbeVerdict::Unknown)
    }

    async fn probe_report(&self, entry: &TargetEntry) -> ProbeVerdict {
        match self.ask(entry, encode_report_request(&entry.name)).await {
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => ProbeVerdict::Crashed,
            Ok(_) => ProbeVerdict::Alive,
            Err(error) => verdict_of(&error),
        }
    }

    /// Targets of plain services serve no report, so an accepted connection counts as alive.
    async fn probe_connection(&self, entry: &TargetEntry) -> ProbeVerdict {
        match self.context.pool.take(entry, PROBE_RULE).await {
            Ok(_) => ProbeVerdict::Alive,
            Err(error) => verdict_of(&error),
        }
    }
}

fn verdict_of(error: &SendError) -> ProbeVerdict {
    match error {
        SendError::NotSent {
            reason: UnsentReason::Refused,
            ..
        } => ProbeVerdict::Crashed,
        SendError::NotSent { .. } | SendError::Unanswered { .. } => ProbeVerdict::Unknown,
    }
}
