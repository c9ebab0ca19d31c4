//! The schedule of a planned stop of this VM, and how long each call may still be sent during it.

use crate::{clock, direct::fleet::FleetState};
use hoplanding_core::{
    direct::{
        config::{ResponseShape, RetryPolicy, RouteRule},
        stop_window::{CallBounds, StopWindow},
    },
    ids,
};
use hoplanding_platform::message_heads::CallHead;
use std::{
    future::pending,
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Schedule of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    /// From then on only calls that are expected to end before `exit` are sent.
    pub restricted_from: Instant,
    /// When the process ends, even with calls under way.
    pub exit: Instant,
}

impl StopPlan {
    /// Whether the process ends now.
    pub(super) fn is_over(&self) -> bool {
        Instant::now() >= self.exit
    }

    fn window(&self, fleet: &FleetState) -> StopWindow {
        let now = Instant::now();
        StopWindow {
            until_restricted: self.restricted_from.saturating_duration_since(now),
            until_exit: self.exit.saturating_duration_since(now),
            has_other_vm: fleet.has_other_vm(),
        }
    }
}

/// How long a call may still be sent during a planned stop.
#[derive(Clone, Debug)]
pub struct SendWindow {
    fleet: Arc<FleetState>,
    stop: Arc<OnceLock<StopPlan>>,
    is_stream: bool,
    is_repeatable: bool,
    max_output_tokens: u32,
    due: ids::Instant,
}

impl SendWindow {
    /// The window of a call with this deadline.
    pub(super) fn new(
        fleet: &Arc<FleetState>,
        stop: &Arc<OnceLock<StopPlan>>,
        route: &RouteRule,
        head: &CallHead,
        due: ids::Instant,
    ) -> Self {
        Self {
            fleet: Arc::clone(fleet),
            stop: Arc::clone(stop),
            is_stream: matches!(route.response_shape, ResponseShape::EventStream { .. }),
            is_repeatable: route.retry_policy == RetryPolicy::Idempotent,
            max_output_tokens: head.max_output_tokens,
            due,
        }
    }

    /// Whether the call may be sent now.
    ///
    /// # Errors
    /// If not, the time after which its caller should retry.
    pub(super) fn check(&self) -> Result<(), Duration> {
        match self.left() {
            Some((left, window)) if left.is_zero() => Err(window.retry_after()),
            _ => Ok(()),
        }
    }

    /// Waits until the call may not be sent any more; returns the time after which its caller should retry. Never returns
    /// while no stop is under way.
    pub(super) async fn closed(&self) -> Duration {
        let mut stopping = self.fleet.watch_stop();
        // `FleetState` keeps the sender alive, and the plan is set before the stop is signalled.
        let _ = stopping.wait_for(|is_stopping| *is_stopping).await;
        while let Some((left, window)) = self.left() {
            if left.is_zero() {
                return window.retry_after();
            }
            sleep(left).await;
        }
        pending().await
    }

    /// Time within which the call has to be sent, and what is left of the stop; `None` while no stop is under way.
    fn left(&self) -> Option<(Duration, StopWindow)> {
        let window = self.stop.get()?.window(&self.fleet);
        let now = clock::now();
        let until_deadline = self.due.since(now);
        let longest = if self.is_stream {
            let streams = self.fleet.streams();
            streams.max_duration(self.max_output_tokens, now)
        } else {
            until_deadline
        };
        let left = window.time_to_send(&CallBounds {
            until_deadline,
            longest,
            is_repeatable: self.is_repeatable,
        });
        Some((left, window))
    }
}
