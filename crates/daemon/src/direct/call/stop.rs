//! What is still taken while this VM stops.

use hoplanding_core::direct::config::{AnswerShape, RouteRule};
use hoplanding_platform::front::CallHead;
use std::time::Duration;
use tokio::time::Instant;

/// Time to a stream's first event, and between two tokens, that a stream is sure not to exceed, by the users' sheets.
const STREAM_START: Duration = Duration::from_millis(1_000);
const TOKEN_TIME: Duration = Duration::from_millis(15);
/// Time from the process's end until it serves again.
const RESTART: Duration = Duration::from_millis(900);

/// When a planned stop takes what.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    /// From here on only what is sure to end in time is taken.
    pub choosy_from: Instant,
    /// When the process ends with whatever is left.
    pub exit: Instant,
}

impl StopPlan {
    /// Whether a call can be taken; if not, when its caller should come back.
    pub(super) fn admits(&self, route: &RouteRule, head: &CallHead) -> Result<(), Duration> {
        let now = Instant::now();
        let left = self.exit.saturating_duration_since(now);
        let longest = match route.shape {
            AnswerShape::Whole => route.timeout,
            AnswerShape::Events { .. } => {
                (STREAM_START + TOKEN_TIME * head.most_output).min(route.timeout)
            }
        };
        if now < self.choosy_from || longest < left {
            Ok(())
        } else {
            Err(left + RESTART)
        }
    }
}
