//! Which calls are still admitted during a planned stop of this VM.

use crate::clock;
use hoplanding_core::direct::{
    config::{ResponseShape, RouteRule},
    stream_estimate::StreamEstimate,
};
use hoplanding_platform::message_heads::CallHead;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the end of the process until it serves again.
const RESTART_TIME: Duration = Duration::from_millis(900);

/// Schedule of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    /// From then on only calls that are expected to end before `exit` are admitted.
    pub restricted_from: Instant,
    /// When the process ends, even with calls under way.
    pub exit: Instant,
}

impl StopPlan {
    /// Whether the process ends now.
    pub(super) fn is_over(&self) -> bool {
        Instant::now() >= self.exit
    }

    /// Whether a call is admitted, judged by how long streams take.
    ///
    /// # Errors
    /// If not, the time after which its caller should retry.
    pub(super) fn admits(
        &self,
        route: &RouteRule,
        head: &CallHead,
        streams: &StreamEstimate,
    ) -> Result<(), Duration> {
        let now = Instant::now();
        let remaining = self.exit.saturating_duration_since(now);
        let longest = match route.response_shape {
            ResponseShape::Buffered => route.timeout,
            ResponseShape::EventStream { .. } => {
                let longest = streams.max_duration(head.max_output_tokens, clock::now());
                longest.min(route.timeout)
            }
        };
        if now < self.restricted_from || longest < remaining {
            Ok(())
        } else {
            Err(remaining + RESTART_TIME)
        }
    }
}
