//! Which calls a VM still sends to targets during a planned stop.
//!
//! What is at a target when the VM ends is cut off. So a call is judged when its request is complete and again just before
//! it is sent, as both may come long after its head. A call whose deadline comes first is answered in any case. During the
//! notice, in which the load balancer still hands callers to the VM, calls that may be repeated are sent whatever they
//! take. A call that may run only once can't be repeated by its caller after a cut, so it is sent only if it is expected
//! to end in time, unless no other VM of the zone could take it. After the notice every call has to be expected to end in
//! time.

use std::time::Duration;

/// Time from the end of an answer until its caller has it.
const DELIVERY_TIME: Duration = Duration::from_millis(100);
/// Time from the end of the process until it serves again.
const RESTART_TIME: Duration = Duration::from_millis(900);
/// `Retry-After` of callers that another VM can serve.
const MOVE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// How long a call may take that has not been sent.
#[derive(Clone, Copy, Debug)]
pub struct CallBounds {
    /// Time until its deadline.
    pub until_deadline: Duration,
    /// Longest expected time from the send to the end of the answer.
    pub longest: Duration,
    /// Whether its caller may repeat it after a cut.
    pub is_repeatable: bool,
}

/// What is left of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopWindow {
    /// Time until the notice is over.
    pub until_restricted: Duration,
    /// Time until the VM ends.
    pub until_exit: Duration,
    /// Whether another VM of the zone can take callers.
    pub has_other_vm: bool,
}

impl StopWindow {
    /// Time within which a call has to be sent; zero if it must not be sent any more.
    #[must_use]
    pub fn time_to_send(&self, call: &CallBounds) -> Duration {
        let usable = self.until_exit.saturating_sub(DELIVERY_TIME);
        if call.until_deadline <= usable {
            return call.until_deadline;
        }
        let in_time = usable.saturating_sub(call.longest);
        if call.is_repeatable || !self.has_other_vm {
            in_time.max(self.until_restricted)
        } else {
            in_time
        }
    }

    /// `Retry-After` of calls that are not sent.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        if self.has_other_vm {
            MOVE_RETRY_AFTER
        } else {
            self.until_exit + RESTART_TIME
        }
    }
}
