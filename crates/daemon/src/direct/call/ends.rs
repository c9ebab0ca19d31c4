//! Whether a target ended under a call, and the word of it.
//!
//! A connection that breaks says little: the target may have closed it, or the link may be cut. That a target ended shows as its
//! address refusing connections, or as another target answering there.

use crate::{
    clock,
    direct::{
        call::CallState,
        sender::{ReuseRule, SendError, exchange},
    },
    event,
    events::Event,
};
use hoplanding_core::direct::{
    catalog::TargetEntry,
    suspects::{EndedUnder, RequestFingerprint},
};
use hoplanding_platform::{front::CallHead, orders::encode_report_request};
use http::{Method, StatusCode, Uri};
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    time::Duration,
};
use tokio::time::timeout;

/// Time for a connection to a target that broke one off, and for its answer: a target that lives answers within a few
/// milliseconds, and the call waits to be sent elsewhere.
const CONNECT_WITHIN: Duration = Duration::from_millis(100);
const ANSWER_WITHIN: Duration = Duration::from_millis(200);
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
    /// Looks whether a target that broke this call off has ended, and tells all holders if so, before the call is placed again.
    pub async fn look_at_break(&self, entry: &TargetEntry) {
        if self.service.engine.is_none() {
            return;
        }
        let verdict = self.look(entry).await;
        if verdict != LookVerdict::Ended {
            event!(Event::EndNotShown, request = self.head.id; "at {}, request {:016x}: {verdict:?}", entry.name, self.fingerprint.0
            );
            return;
        }
        let ended = EndedUnder {
            fingerprint: self.fingerprint,
            run: entry.run(),
        };
        event!(Event::TargetEndedUnder, request = self.head.id; "at {}, request {:016x}", entry.name, self.fingerprint.0
        );
        let is_news = {
            let mut books = self.context.fleet.books();
            books.suspects.note_ended(&ended, clock::now())
        };
        if is_news {
            self.context.access.tell_ended_under(&ended);
        }
    }

    async fn look(&self, entry: &TargetEntry) -> LookVerdict {
        let asked = exchange(
            &self.context.pool,
            entry,
            encode_report_request(&entry.name),
            ReuseRule::Never,
            CONNECT_WITHIN,
            ANSWER_BYTES,
        );
        match timeout(ANSWER_WITHIN, asked).await {
            Ok(
                Ok((StatusCode::MISDIRECTED_REQUEST, _))
                | Err(SendError::NotSent {
                    is_refused: true, ..
                }),
            ) => LookVerdict::Ended,
            Ok(Ok(_)) => LookVerdict::Lives,
            Ok(Err(_)) | Err(_) => LookVerdict::Unknown,
        }
    }
}
