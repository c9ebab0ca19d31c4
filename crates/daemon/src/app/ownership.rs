//! Taking targets over, and settling predecessors.

use crate::{
    app::{
        AppState, OrderKind, OrderReport,
        held::{HeldPhase, HeldRuntime},
    },
    event,
    events::Event,
};
use hoplanding_core::{
    ids::{DaemonRef, FencingToken, Instant, TargetName},
    log::{LogRecord, SettledRecord},
    ownership::{
        AssignmentInput, FenceState, HolderLease, SettleEvidence, is_predecessor_settled,
        plan_takeovers,
    },
    request::NotRunReason,
};
use rand::Rng;
use std::time::Duration;

/// Pause between two looks at who should hold what.
const OWNERSHIP_EVERY: Duration = Duration::from_millis(100);
/// Pause after an append of takeovers, so that they are read back before the next.
const TAKEOVER_PAUSE: Duration = Duration::from_millis(700);
/// Pause between two questions about a predecessor.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// Pause between two tries to prepare a target.
const PREPARE_EVERY: Duration = Duration::from_millis(500);

impl AppState {
    pub(super) fn tick_ownership(&mut self, now: Instant) {
        if now.since(self.last.ownership) < OWNERSHIP_EVERY {
            return;
        }
        self.last.ownership = now;
        self.take_over_targets(now);
        self.settle_own_past(now);
        self.settle_predecessors(now);
        self.prepare_targets(now);
    }

    fn take_over_targets(&mut self, now: Instant) {
        if !self.feed.is_up || !self.is_ready() || now.since(self.last.takeover) < TAKEOVER_PAUSE {
            return;
        }
        let eligible = self.members.eligible_daemons();
        let targets: Vec<_> = self
            .config()
            .targets
            .iter()
            .filter(|(_, config)| config.zone == self.zone)
            .map(|(name, _)| name.clone())
            .collect();
        let input = AssignmentInput {
            me: &self.me,
            eligible: &eligible,
            targets: &targets,
            ownership: &self.folded.ownership,
        };
        let wanted = plan_takeovers(&input, |daemon| self.members.is_replaceable(daemon, now));
        if wanted.is_empty() {
            return;
        }
        // Survivors of a rack append one batch each, spread a little so that later ones see the earlier.
        let spread = rand::rng().random_range(0..50);
        self.last.takeover = now.after(Duration::from_millis(spread));
        let records = wanted.into_iter().map(LogRecord::Takeover).collect();
        let _ = self.workers.appender.append(0, records);
    }

    /// The fold named a new holder of a target.
    pub(super) fn holder_changed(
        &mut self,
        target: &TargetName,
        lease: &HolderLease,
        now: Instant,
    ) {
        if lease.daemon == self.me {
            self.hold_target(target, lease.token, now);
        } else {
            self.lose_target(target, now);
        }
    }

    fn hold_target(&mut self, target: &TargetName, token: FencingToken, now: Instant) {
        let Some(config) = self.folded.config.targets.get(target) else {
            return;
        };
        event!(Event::TargetTakenOver, "{target} with token {}", token.0);
        match self.held.get_mut(target) {
            // It was this daemon's before, and something of that time may still run: all of it stays on the books.
            Some(held) => held.take_again(token),
            None => {
                let waiting_most = self.settings.limits.max_waiting_per_target;
                let runtime =
                    HeldRuntime::new(target, token, config, waiting_most, &self.workers.http, now);
                self.held.insert(target.clone(), runtime);
            }
        }
        self.apply_targets();
        self.prepare_target(target, now);
    }

    fn lose_target(&mut self, target: &TargetName, now: Instant) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        if held.phase == HeldPhase::Lost {
            return;
        }
        event!(Event::TargetLost, "{target}");
        held.phase = HeldPhase::Lost;
        held.scheduler.set_open(false);
        self.give_back_waiting(target, &NotRunReason::NotHolder);
        self.settle_own_past(now);
    }

    /// Ends everything that waits at a target as not run.
    pub(super) fn give_back_waiting(&mut self, target: &TargetName, reason: &NotRunReason) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        for queued in held.scheduler.drain_waiting() {
            if let Some(pending) = held.waiting.remove(&queued.id) {
                pending.refuse(reason.clone());
            }
        }
    }

    /// Makes the held targets fit the fold, after records or a snapshot.
    pub(super) fn reconcile_holders(&mut self, now: Instant) {
        let mine: Vec<_> = self
            .folded
            .ownership
            .iter()
            .filter_map(|(target, ownership)| Some((target.clone(), ownership.holder.clone()?)))
            .filter(|(_, lease)| lease.is_held_by(&self.me))
            .collect();
        for (target, lease) in &mine {
            let known = self
                .held
                .get(target)
                .is_some_and(|held| held.lease.token == lease.token);
            if !known && self.config().targets.contains_key(target) {
                self.hold_target(target, lease.token, now);
            }
        }
        let lost: Vec<_> = self
            .held
            .iter()
            .filter(|(target, held)| {
                let ownership = self.folded.ownership.target(target.as_str());
                held.phase != HeldPhase::Lost
                    && !ownership.is_some_and(|ownership| held.lease.is_holder(ownership))
            })
            .map(|(target, _)| target.clone())
            .collect();
        for target in lost {
            self.lose_target(&target, now);
        }
    }

    /// As a former holder: says so in the log once nothing of ours is sent or running.
    ///
    /// A daemon that holds the target again has what still runs on its books, so its own past is settled at once.
    fn settle_own_past(&mut self, now: Instant) {
        let mut records = Vec::new();
        for (target, ownership) in self.folded.ownership.iter() {
            let mut own = ownership
                .predecessors
                .iter()
                .filter(|lease| lease.is_held_by(&self.me))
                .peekable();
            let is_quiet = self.held.get(target).is_none_or(HeldRuntime::is_past_quiet);
            let last = self.last.settled.get(target).copied().unwrap_or_default();
            if own.peek().is_none() || !is_quiet || now.since(last) <= TAKEOVER_PAUSE {
                continue;
            }
            self.last.settled.insert(target.clone(), now);
            records.extend(own.map(|lease| settled(target, lease.token)));
        }
        if !records.is_empty() {
            let _ = self.workers.appender.append(0, records);
        }
        let ownership = &self.folded.ownership;
        self.held.retain(|target, held| {
            let predecessors = ownership
                .target(target.as_str())
                .map(|target| target.predecessors.as_slice());
            let is_open = predecessors
                .unwrap_or_default()
                .iter()
                .any(|lease| lease.is_held_by(&self.me));
            held.phase != HeldPhase::Lost || !held.is_idle() || is_open
        });
    }

    /// As a successor: looks for predecessors that can't say it themselves.
    fn settle_predecessors(&mut self, now: Instant) {
        let mut asks = Vec::new();
        for (target, held) in &mut self.held {
            if held.phase == HeldPhase::Lost || now.since(held.asked_settled_at) < ASK_EVERY {
                continue;
            }
            let Some(ownership) = self.folded.ownership.target(target.as_str()) else {
                continue;
            };
            held.asked_settled_at = now;
            asks.extend(
                ownership
                    .predecessors
                    .iter()
                    .map(|lease| (target.clone(), lease.clone())),
            );
        }
        for (target, lease) in asks {
            if self.is_past(&lease.daemon, now) {
                self.ask_settled(&target, &lease);
            }
        }
    }

    /// Whether a daemon is gone for certain, and what it sent can't arrive any more.
    fn is_past(&mut self, daemon: &DaemonRef, now: Instant) -> bool {
        if self.members.is_confirmed_gone(daemon.vm.as_str(), now) {
            return true;
        }
        if !self.members.is_superseded(daemon) {
            return false;
        }
        let since = *self.superseded_since.entry(daemon.clone()).or_insert(now);
        now.since(since) >= self.settings.membership.times.delivery_bound
    }

    fn ask_settled(&mut self, target: &TargetName, lease: &HolderLease) {
        let is_engine = self.held.get(target).is_some_and(HeldRuntime::is_engine);
        if is_engine {
            self.send_order(target, OrderKind::AskSettled(lease.token));
        } else {
            // A plain service has nothing to unload, so nothing has to wait for its former holder.
            let _ = self
                .workers
                .appender
                .append(0, vec![settled(target, lease.token)]);
        }
    }

    /// The target, asked after the delivery bound, named its streams.
    pub(super) fn settled_answered(&mut self, report: &OrderReport, predecessor: FencingToken) {
        let Ok((_, Some(listing))) = &report.result else {
            return;
        };
        let prefix = format!("{}.", predecessor.0);
        let evidence = SettleEvidence {
            vm_unlisted: true,
            zone_still_listed: true,
            delivery_bound_passed: true,
            no_requests_running: !listing
                .running
                .iter()
                .any(|stream| stream.starts_with(&prefix)),
        };
        if is_predecessor_settled(evidence) {
            event!(
                Event::PredecessorSettled,
                "{} of {}",
                predecessor.0,
                report.target
            );
            let _ = self
                .workers
                .appender
                .append(0, vec![settled(&report.target, predecessor)]);
        }
    }

    fn prepare_targets(&mut self, now: Instant) {
        let due = self.held.iter().filter(|(_, held)| {
            held.phase == HeldPhase::Preparing && now.since(held.prepare_at) >= PREPARE_EVERY
        });
        let due: Vec<_> = due.map(|(target, _)| target.clone()).collect();
        for target in due {
            self.prepare_target(&target, now);
        }
    }

    /// Presents the token, then lists the adapters; a plain service needs neither.
    pub(super) fn prepare_target(&mut self, target: &TargetName, now: Instant) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        held.prepare_at = now;
        if !held.is_engine() {
            held.phase = HeldPhase::Serving;
            event!(Event::TargetReady, "{target}");
            self.apply_targets();
            self.pump(&target.clone(), now);
            return;
        }
        let kind = match held.lease.fence {
            FenceState::Presented => OrderKind::Present,
            FenceState::NotChecked | FenceState::Acknowledged => OrderKind::List,
        };
        self.send_order(target, kind);
    }
}

pub(super) fn settled(target: &TargetName, token: FencingToken) -> LogRecord {
    LogRecord::Settled(SettledRecord {
        target: target.clone(),
        token,
    })
}
