//! Planned stop of the daemon.
//!
//! During the drain delay the daemon reports itself as not ready, and still accepts requests until the load balancer
//! has taken it out. Then it refuses new requests, hands its targets and idempotency tokens over to peers, and ends
//! once all requests are finished or the stop timed out.

use crate::{
    app::{AppState, StopReport, target_runtime::TargetPhase},
    event,
    events::Event,
    peers::PeerMessage,
};
use hoplanding_core::{
    ids::{DaemonRef, Instant, VmName},
    log::{LogRecord, TakeoverRecord},
};
use std::time::Duration;
use tokio::sync::oneshot;

/// Retry interval for handing over targets and tokens.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(500);

/// Progress of a planned stop.
pub struct StopState {
    reply: Option<oneshot::Sender<StopReport>>,
    started_at: Instant,
    /// Whether the drain delay passed, in which the load balancer may still send requests.
    is_drain_delay_over: bool,
    last_handover_at: Instant,
    token_successor: Option<VmName>,
    tokens_accepted: bool,
    is_over: bool,
}

impl StopState {
    /// Whether new requests are refused, which they are after the drain delay.
    pub(super) fn refuses_requests(&self) -> bool {
        self.is_drain_delay_over
    }
}

impl AppState {
    pub(super) fn begin_stop(&mut self, reply: oneshot::Sender<StopReport>, now: Instant) {
        if self.stopping.is_some() {
            return;
        }
        event!(
            Event::Stopping,
            "{} requests open, {} targets held",
            self.open_requests,
            self.held_targets.len()
        );
        self.stopping = Some(StopState {
            reply: Some(reply),
            started_at: now,
            is_drain_delay_over: false,
            last_handover_at: Instant::default(),
            token_successor: None,
            tokens_accepted: false,
            is_over: false,
        });
        // Resetting the timer sends the next heartbeat, which announces the stop, at once.
        self.last.heartbeat = Instant::default();
    }

    /// Whether the planned stop is complete, so that the event loop can end.
    pub(super) fn is_stopped(&self) -> bool {
        self.stopping.as_ref().is_some_and(|stop| stop.is_over)
    }

    pub(super) fn tick_stop(&mut self, now: Instant) {
        let (drain_delay, timeout) = (self.settings.stop.drain_delay, self.settings.stop.timeout);
        let Some(stop) = &mut self.stopping else {
            return;
        };
        let elapsed = now.since(stop.started_at);
        if elapsed < drain_delay {
            return;
        }
        stop.is_drain_delay_over = true;
        let due = now.since(stop.last_handover_at) >= HANDOVER_INTERVAL;
        if due {
            stop.last_handover_at = now;
            self.hand_over_targets();
            self.hand_over_tokens();
        }
        let report = StopReport {
            open_requests: self.open_requests
                + self
                    .held_targets
                    .values()
                    .map(|runtime| runtime.scheduler.running_len())
                    .sum::<usize>(),
            remaining_targets: self.held_targets.len(),
        };
        let has_no_successor = self.successor().is_none();
        let Some(stop) = &mut self.stopping else {
            return;
        };
        // Without a peer or without the log, targets can't be handed over; running requests are still finished.
        let targets_handed_over =
            report.remaining_targets == 0 || has_no_successor || !self.feed.is_reachable;
        let requests_finished = report.open_requests == 0 && self.workers.calls.is_empty();
        let tokens_handed_over = stop.tokens_accepted || has_no_successor;
        if (requests_finished && targets_handed_over && tokens_handed_over) || elapsed >= timeout {
            if !requests_finished || report.remaining_targets > 0 {
                event!(
                    Event::StopTimedOut,
                    "{} requests open, {} targets not handed over",
                    report.open_requests,
                    report.remaining_targets
                );
            }
            stop.is_over = true;
            if let Some(reply) = stop.reply.take() {
                let _ = reply.send(report);
            }
        }
    }

    /// Returns a connected daemon of the zone to hand over to, if there is one.
    fn successor(&self) -> Option<DaemonRef> {
        let mut peers = self
            .members
            .eligible_daemons()
            .into_iter()
            .filter(|daemon| daemon.vm != self.me.vm);
        peers.find(|daemon| {
            self.links
                .get(&daemon.vm)
                .is_some_and(crate::peers::PeerLink::is_connected)
        })
    }

    fn hand_over_targets(&mut self) {
        let peers: Vec<_> = self
            .members
            .eligible_daemons()
            .into_iter()
            .filter(|daemon| daemon.vm != self.me.vm)
            .collect();
        if peers.is_empty() {
            return;
        }
        let held_targets = self
            .held_targets
            .iter()
            .filter(|(_, runtime)| runtime.phase != TargetPhase::Lost);
        let records = held_targets.enumerate().map(|(index, (target, runtime))| {
            LogRecord::Takeover(TakeoverRecord {
                target: target.clone(),
                replaces: Some(runtime.lease.token),
                holder: peers[index % peers.len()].clone(),
            })
        });
        let records: Vec<_> = records.collect();
        if !records.is_empty() {
            let _ = self.workers.appender.append(0, records);
        }
    }

    fn hand_over_tokens(&mut self) {
        let successor = self.successor();
        let Some(stop) = &mut self.stopping else {
            return;
        };
        let (Some(successor), None) = (successor, &stop.token_successor) else {
            return;
        };
        let Some(link) = self.links.get(&successor.vm) else {
            return;
        };
        let tokens = self.idempotency.transfer_to(&successor);
        if link.try_send(PeerMessage::HandTokens(tokens)) {
            stop.token_successor = Some(successor.vm.clone());
        }
    }

    pub(super) fn tokens_accepted(&mut self, successor: &VmName) {
        let Some(stop) = &mut self.stopping else {
            return;
        };
        stop.tokens_accepted = true;
        event!(Event::TokensHandedOver, "to {successor}");
        let issuers = [self.me.clone()];
        self.announce_successor(&issuers, successor);
    }
}
