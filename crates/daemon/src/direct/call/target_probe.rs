//! Whether a target ended under a call, and the word of it.
//!
//! A connection that breaks says little: the target may have closed it, or the link may be cut. That a target ended shows as its
//! address refusing connections, or as another target answering there.

use crate::{
    direct::{
        call::CallState,
        target_connections::{ReuseRule, SendError, exchange},
    },
    event,
    events::Event,
};
use hoplanding_core::direct::{
    catalog::TargetEntry,
    suspects::{RequestFingerprint, TargetCrash},
};
use hoplanding_platform::{front::CallHead, orders::encode_report_request};
use http::{Method, StatusCode, Uri};
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Time for a connection to a target that broke one off, and for its answer: a target that lives answers within a few
/// milliseconds, and the call waits to be sent elsewhere.
const CONNECT_WITHIN: Duration = Duration::from_millis(100);
const ANSWER_WITHIN: Duration = Duration::from_millis(200);
/// Pause before a look that showed nothing is repeated.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Bytes of the answer that are read.
const ANSWER_BYTES: usize = 1 << 20;

/// The request by what it asks. Its id and its caller's deadline are other ones each time.
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
    head.most_output.hash(&mut hasher);
    head.prefix.hash(&mut hasher);
    body.hash(&mut hasher);
    RequestFingerprint(hasher.finish())
}

/// What a look at a target that broke a call off showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LookVerdict {
    /// Nothing listens at its address, or another target answers there.
    Ended,
    /// It answers.
    Lives,
    /// It does not answer: it may be busy with its end, or with anything else.
    Unknown,
}

impl CallState {
    /// Looks whether a target that broke this call off has ended, and tells all holders and the log if so, before the call is
    /// placed again or its caller answered.
    /// A trial whose target says nothing counts as one that ended it.
    pub async fn probe_after_failure(&self, entry: &TargetEntry, is_trial: bool) {
        let mut verdict = self.look(entry).await;
        if verdict == LookVerdict::Unknown {
            // Its connections may end a moment before its address does.
            sleep(LOOK_AGAIN).await;
            verdict = self.look(entry).await;
        }
        let is_taken_for_ended = verdict == LookVerdict::Unknown && is_trial;
        if verdict != LookVerdict::Ended {
            event!(Event::TargetEndUnconfirmed, request = self.head.id; "at {}, request {:016x}: {verdict:?}, trial {is_trial}", entry.name, self.fingerprint.0
            );
            if !is_taken_for_ended {
                return;
            }
        }
        let ended = TargetCrash {
            fingerprint: self.fingerprint,
            run: entry.run(),
        };
        event!(Event::TargetEndedDuringRequest, request = self.head.id; "at {}, request {:016x}", entry.name, self.fingerprint.0
        );
        if self.context.fleet.note_ended_under(&ended) {
            self.context.holder_client.tell_ended_under(&ended);
        }
        self.context.records.record(self.fingerprint).await;
    }

    /// An engine that wants no request from this VM is asked no question either.
    async fn look(&self, entry: &TargetEntry) -> LookVerdict {
        let looked = async {
            if self.service.engine.is_some() && !self.context.fleet.is_resting(&entry.run()) {
                self.ask_engine(entry).await
            } else {
                self.dial(entry).await
            }
        };
        let looked = timeout(ANSWER_WITHIN, looked).await;
        looked.unwrap_or(LookVerdict::Unknown)
    }

    async fn ask_engine(&self, entry: &TargetEntry) -> LookVerdict {
        let asked = exchange(
            &self.context.fleet,
            &self.context.pool,
            entry,
            encode_report_request(&entry.name),
            ReuseRule::Never,
            CONNECT_WITHIN,
            ANSWER_BYTES,
        );
        match asked.await {
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => LookVerdict::Ended,
            Ok(_) => LookVerdict::Lives,
            Err(error) => verdict_of(&error),
        }
    }

    /// Targets of plain services have no report: one that accepts a connection lives.
    async fn dial(&self, entry: &TargetEntry) -> LookVerdict {
        let (pool, run) = (&self.context.pool, entry.run());
        let taken = pool.take(&run, entry.address, ReuseRule::Never, CONNECT_WITHIN);
        match taken.await {
            Ok(_) => LookVerdict::Lives,
            Err(error) => verdict_of(&error),
        }
    }
}

fn verdict_of(error: &SendError) -> LookVerdict {
    match error {
        SendError::NotSent {
            is_refused: true, ..
        } => LookVerdict::Ended,
        SendError::NotSent { .. } | SendError::Unanswered { .. } => LookVerdict::Unknown,
    }
}
