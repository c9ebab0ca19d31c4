//! The planned stop: out of the balancer, hand over, finish, end.

use crate::{
    app::{AppState, StopReport, held::HeldPhase},
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

/// Pause between two tries to hand over.
const HAND_OVER_EVERY: Duration = Duration::from_millis(500);

/// A planned stop under way.
pub struct StopState {
    reply: Option<oneshot::Sender<StopReport>>,
    began: Instant,
    /// Whether new requests are refused; until then the balancer may still send some.
    grace_over: bool,
    tried_at: Instant,
    tokens_sent_to: Option<VmName>,
    tokens_taken: bool,
    is_over: bool,
}

impl StopState {
    /// Whether new requests are refused.
    pub(super) fn refuses_new(&self) -> bool {
        self.grace_over
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
            self.held.len()
        );
        self.stopping = Some(StopState {
            reply: Some(reply),
            began: now,
            grace_over: false,
            tried_at: Instant::default(),
            tokens_sent_to: None,
            tokens_taken: false,
            is_over: false,
        });
        // Peers hear of it at once.
        self.last.heartbeat = Instant::default();
    }

    /// Whether the loop can end.
    pub(super) fn is_stopped(&self) -> bool {
        self.stopping.as_ref().is_some_and(|stop| stop.is_over)
    }

    pub(super) fn tick_stop(&mut self, now: Instant) {
        let (grace, bound) = (self.settings.stop.drain_delay, self.settings.stop.timeout);
        let Some(stop) = &mut self.stopping else {
            return;
        };
        let passed = now.since(stop.began);
        if passed < grace {
            return;
        }
        stop.grace_over = true;
        let due = now.since(stop.tried_at) >= HAND_OVER_EVERY;
        if due {
            stop.tried_at = now;
            self.hand_over_targets();
            self.hand_over_tokens();
        }
        let report = StopReport {
            open_requests: self.open_requests
                + self
                    .held
                    .values()
                    .map(|held| held.scheduler.running_len())
                    .sum::<usize>(),
            remaining_targets: self.held.len(),
        };
        let alone = self.heir().is_none();
        let Some(stop) = &mut self.stopping else {
            return;
        };
        // Alone, or without the log, nothing can be handed over; what runs is finished all the same.
        let handed_over = report.remaining_targets == 0 || alone || !self.feed.is_up;
        let finished = report.open_requests == 0 && self.workers.calls.is_empty();
        let tokens_safe = stop.tokens_taken || alone;
        if (finished && handed_over && tokens_safe) || passed >= bound {
            if !finished || report.remaining_targets > 0 {
                event!(
                    Event::StopTimedOut,
                    "{} requests, {} targets",
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

    /// A daemon of the zone that takes over; any other one for tokens if there is none.
    fn heir(&self) -> Option<DaemonRef> {
        let mut able = self
            .members
            .eligible_daemons()
            .into_iter()
            .filter(|daemon| daemon.vm != self.me.vm);
        able.find(|daemon| {
            self.links
                .get(&daemon.vm)
                .is_some_and(crate::peers::PeerLink::is_connected)
        })
    }

    fn hand_over_targets(&mut self) {
        let able: Vec<_> = self
            .members
            .eligible_daemons()
            .into_iter()
            .filter(|daemon| daemon.vm != self.me.vm)
            .collect();
        if able.is_empty() {
            return;
        }
        let held = self
            .held
            .iter()
            .filter(|(_, held)| held.phase != HeldPhase::Lost);
        let records = held.enumerate().map(|(index, (target, held))| {
            LogRecord::Takeover(TakeoverRecord {
                target: target.clone(),
                replaces: Some(held.lease.token),
                holder: able[index % able.len()].clone(),
            })
        });
        let records: Vec<_> = records.collect();
        if !records.is_empty() {
            let _ = self.workers.appender.append(0, records);
        }
    }

    fn hand_over_tokens(&mut self) {
        let heir = self.heir();
        let Some(stop) = &mut self.stopping else {
            return;
        };
        let (Some(heir), None) = (heir, &stop.tokens_sent_to) else {
            return;
        };
        let Some(link) = self.links.get(&heir.vm) else {
            return;
        };
        let handed = self.repeats.transfer_to(&heir);
        if link.try_send(PeerMessage::HandTokens(handed)) {
            stop.tokens_sent_to = Some(heir.vm.clone());
        }
    }

    pub(super) fn tokens_taken(&mut self, heir: &VmName) {
        let Some(stop) = &mut self.stopping else {
            return;
        };
        stop.tokens_taken = true;
        event!(Event::TokensHandedOver, "to {heir}");
        let issuers = [self.me.clone()];
        self.tell_heir(&issuers, heir);
    }
}
