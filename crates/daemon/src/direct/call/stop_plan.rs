//! What is still taken while this VM stops.

use crate::clock;
use hoplanding_core::direct::{
    config::{ResponseShape, RouteRule},
    stream_estimate::StreamEstimate,
};
use hoplanding_platform::message_heads::CallHead;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the process's end until it serves again.
const RESTART: Duration = Duration::from_millis(900);

/// When a planned stop takes what.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    /// From here on only what is sure to end in time is taken.
    pub restricted_from: Instant,
    /// When the process ends with whatever is left.
    pub exit: Instant,
}

impl StopPlan {
    /// Whether a call can be taken, by how long streams take; if not, when its caller should come back.
    pub(super) fn admits(
        &self,
        route: &RouteRule,
        head: &CallHead,
        streams: &StreamEstimate,
    ) -> Result<(), Duration> {
        let now = Instant::now();
        let left = self.exit.saturating_duration_since(now);
        let longest = match route.response_shape {
            ResponseShape::Buffered => route.timeout,
            ResponseShape::EventStream { .. } => {
                let longest = streams.max_duration(head.max_output_tokens, clock::now());
                longest.min(route.timeout)
            }
        };
        if now < self.restricted_from || longest < left {
            Ok(())
        } else {
            Err(left + RESTART)
        }
    }
}
