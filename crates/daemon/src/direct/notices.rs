//! What targets say of themselves in their answers, of whatever kind.

use crate::{clock, direct::fleet::FleetState, event, events::Event};
use hoplanding_core::{direct::notices::TargetNotice, ids::TargetRun};
use hoplanding_platform::notices::decode_notice;
use http::{HeaderMap, StatusCode};

impl FleetState {
    /// Takes in what an answer of a target says of it; the answer must be known to be the target's own.
    pub fn hear_target(
        &self,
        run: &TargetRun,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> TargetNotice {
        let decoded = decode_notice(status, headers);
        let now = clock::now();
        let mut books = self.books();
        for fault in &decoded.faults {
            if let Some(untold) = books.unread.note(now) {
                event!(
                    Event::NoticeUnreadable,
                    "{}: {fault}; {untold} more before it",
                    run.name
                );
            }
        }
        let notice = decoded.notice;
        if notice.is_leaving && books.leaving.insert(run.clone()) {
            event!(Event::TargetLeaving, "{}, by its own answer", run.name);
        }
        if let Some(rest) = notice.rest {
            event!(Event::RestAsked, "{} for {rest:?}", run.name);
        }
        notice
    }
}
