//! Takeover of targets and settlement of earlier leases.
//!
//! A daemon takes targets over by appending to the log and becomes the holder once the record is read back. Earlier
//! leases of a target stay open until their holder, or a successor on its behalf, records that nothing of them is
//! running or in flight.

use crate::{
    app::{
        AppState, OrderKind, OrderReport,
        target_runtime::{TargetPhase, TargetRuntime},
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

/// Interval at which target assignments are checked.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after an append of takeovers or settlements, so that the records are read back before the next append.
const READ_BACK_PAUSE: Duration = Duration::from_millis(700);
/// Interval at which the settlement of predecessors is checked.
const SETTLE_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Retry interval for preparing a target.
const PREPARE_INTERVAL: Duration = Duration::from_millis(500);

impl AppState {
    pub(super) fn tick_ownership(&mut self, now: Instant) {
        if now.since(self.last.ownership) < OWNERSHIP_INTERVAL {
            return;
        }
        self.last.ownership = now;
        self.take_over_targets(now);
        self.settle_own_leases(now);
        self.settle_predecessors(now);
        self.prepare_targets(now);
    }

    fn take_over_targets(&mut self, now: Instant) {
        if !self.feed.is_reachable
            || !self.is_ready()
            || now.since(self.last.takeover) < READ_BACK_PAUSE
        {
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
        let takeovers = plan_takeovers(&input, |daemon| self.members.is_replaceable(daemon, now));
        if takeovers.is_empty() {
            return;
        }
        // Jitter of up to 50 ms: after the loss of a rack, each survivor appends a batch, and later ones should see
        // earlier ones.
        let jitter = rand::rng().random_range(0..50);
        self.last.takeover = now.after(Duration::from_millis(jitter));
        let records = takeovers.into_iter().map(LogRecord::Takeover).collect();
        let _ = self.workers.appender.append(0, records);
    }

    /// Handles a new holder of a target, as folded from the log.
    pub(super) fn holder_changed(
        &mut self,
        target: &TargetName,
        lease: &HolderLease,
        now: Instant,
    ) {
        if lease.daemon == self.me {
            self.acquire_target(target, lease.token, now);
        } else {
            self.target_lost(target, now);
        }
    }

    fn acquire_target(&mut self, target: &TargetName, token: FencingToken, now: Instant) {
        let Some(config) = self.folded.config.targets.get(target) else {
            return;
        };
        event!(Event::TargetTakenOver, "{target} with token {}", token.0);
        match self.held_targets.get_mut(target) {
            // Requests and orders of an earlier lease may still be open on the target, so the runtime state is kept.
            Some(runtime) => runtime.renew_lease(token),
            None => {
                let max_waiting = self.settings.limits.max_waiting_per_target;
                let runtime =
                    TargetRuntime::new(target, token, config, max_waiting, &self.workers.http, now);
                self.held_targets.insert(target.clone(), runtime);
            }
        }
        self.apply_targets();
        self.prepare_target(target, now);
    }

    fn target_lost(&mut self, target: &TargetName, now: Instant) {
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        if runtime.phase == TargetPhase::Lost {
            return;
        }
        event!(Event::TargetLost, "{target}");
        runtime.phase = TargetPhase::Lost;
        runtime.scheduler.set_open(false);
        self.refuse_waiting(target, &NotRunReason::NotHolder);
        self.settle_own_leases(now);
    }

    /// Ends all queued requests of a target as not run.
    pub(super) fn refuse_waiting(&mut self, target: &TargetName, reason: &NotRunReason) {
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        for queued in runtime.scheduler.drain_waiting() {
            if let Some(pending) = runtime.pending_calls.remove(&queued.id) {
                pending.refuse(reason.clone());
            }
        }
    }

    /// Aligns the held targets with the folded ownership after records or a snapshot were applied.
    pub(super) fn reconcile_holders(&mut self, now: Instant) {
        let own_leases: Vec<_> = self
            .folded
            .ownership
            .iter()
            .filter_map(|(target, ownership)| Some((target.clone(), ownership.holder.clone()?)))
            .filter(|(_, lease)| lease.is_held_by(&self.me))
            .collect();
        for (target, lease) in &own_leases {
            let known = self
                .held_targets
                .get(target)
                .is_some_and(|runtime| runtime.lease.token == lease.token);
            if !known && self.config().targets.contains_key(target) {
                self.acquire_target(target, lease.token, now);
            }
        }
        let lost: Vec<_> = self
            .held_targets
            .iter()
            .filter(|(target, runtime)| {
                let ownership = self.folded.ownership.target(target.as_str());
                runtime.phase != TargetPhase::Lost
                    && !ownership.is_some_and(|ownership| runtime.lease.is_holder(ownership))
            })
            .map(|(target, _)| target.clone())
            .collect();
        for target in lost {
            self.target_lost(&target, now);
        }
    }

    /// Records this daemon's own earlier leases as settled once nothing of them is running or in flight.
    ///
    /// A daemon that holds the target again still tracks the requests of its earlier lease, so only an open order
    /// delays the settlement. Runtime state of lost targets is dropped once it is idle and settled.
    fn settle_own_leases(&mut self, now: Instant) {
        let mut records = Vec::new();
        for (target, ownership) in self.folded.ownership.iter() {
            let mut own_predecessors = ownership
                .predecessors
                .iter()
                .filter(|lease| lease.is_held_by(&self.me))
                .peekable();
            let can_settle = self
                .held_targets
                .get(target)
                .is_none_or(TargetRuntime::can_settle);
            let last = self.last.settled.get(target).copied().unwrap_or_default();
            if own_predecessors.peek().is_none()
                || !can_settle
                || now.since(last) <= READ_BACK_PAUSE
            {
                continue;
            }
            self.last.settled.insert(target.clone(), now);
            records.extend(own_predecessors.map(|lease| settled_record(target, lease.token)));
        }
        if !records.is_empty() {
            let _ = self.workers.appender.append(0, records);
        }
        let ownership = &self.folded.ownership;
        self.held_targets.retain(|target, runtime| {
            let predecessors = ownership
                .target(target.as_str())
                .map(|target| target.predecessors.as_slice());
            let has_open_lease = predecessors
                .unwrap_or_default()
                .iter()
                .any(|lease| lease.is_held_by(&self.me));
            runtime.phase != TargetPhase::Lost || !runtime.is_idle() || has_open_lease
        });
    }

    /// Settles predecessors that are gone and can't record the settlement themselves.
    fn settle_predecessors(&mut self, now: Instant) {
        let mut queries = Vec::new();
        for (target, runtime) in &mut self.held_targets {
            if runtime.phase == TargetPhase::Lost
                || now.since(runtime.last_settle_query_at) < SETTLE_QUERY_INTERVAL
            {
                continue;
            }
            let Some(ownership) = self.folded.ownership.target(target.as_str()) else {
                continue;
            };
            runtime.last_settle_query_at = now;
            queries.extend(
                ownership
                    .predecessors
                    .iter()
                    .map(|lease| (target.clone(), lease.clone())),
            );
        }
        for (target, lease) in queries {
            if self.is_certainly_gone(&lease.daemon, now) {
                self.settle_predecessor(&target, &lease);
            }
        }
    }

    /// Whether a daemon is certainly gone and nothing that it sent can still arrive.
    fn is_certainly_gone(&mut self, daemon: &DaemonRef, now: Instant) -> bool {
        if self.members.is_confirmed_gone(daemon.vm.as_str(), now) {
            return true;
        }
        if !self.members.is_superseded(daemon) {
            return false;
        }
        let since = *self.superseded_since.entry(daemon.clone()).or_insert(now);
        now.since(since) >= self.settings.membership.timeouts.delivery_bound
    }

    fn settle_predecessor(&mut self, target: &TargetName, lease: &HolderLease) {
        let is_engine = self
            .held_targets
            .get(target)
            .is_some_and(TargetRuntime::is_engine);
        if is_engine {
            self.send_order(target, OrderKind::SettleQuery(lease.token));
        } else {
            // A plain service has no adapters to unload, so its predecessors settle without a query.
            let _ = self
                .workers
                .appender
                .append(0, vec![settled_record(target, lease.token)]);
        }
    }

    /// Settles a predecessor if a listing after the delivery bound shows none of its streams.
    pub(super) fn settle_query_answered(
        &mut self,
        report: &OrderReport,
        predecessor: FencingToken,
    ) {
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
                "token {} on {}",
                predecessor.0,
                report.target
            );
            let _ = self
                .workers
                .appender
                .append(0, vec![settled_record(&report.target, predecessor)]);
        }
    }

    fn prepare_targets(&mut self, now: Instant) {
        let due = self.held_targets.iter().filter(|(_, runtime)| {
            runtime.phase == TargetPhase::Preparing
                && now.since(runtime.last_prepare_at) >= PREPARE_INTERVAL
        });
        let due: Vec<_> = due.map(|(target, _)| target.clone()).collect();
        for target in due {
            self.prepare_target(&target, now);
        }
    }

    /// Presents the fencing token and lists the adapters; a plain service needs neither.
    pub(super) fn prepare_target(&mut self, target: &TargetName, now: Instant) {
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        runtime.last_prepare_at = now;
        if !runtime.is_engine() {
            runtime.phase = TargetPhase::Serving;
            event!(Event::TargetReady, "{target}");
            self.apply_targets();
            self.dispatch_ready(&target.clone(), now);
            return;
        }
        let kind = match runtime.lease.fence {
            FenceState::Presented => OrderKind::PresentToken,
            FenceState::NotChecked | FenceState::Acknowledged => OrderKind::List,
        };
        self.send_order(target, kind);
    }
}

pub(super) fn settled_record(target: &TargetName, token: FencingToken) -> LogRecord {
    LogRecord::Settled(SettledRecord {
        target: target.clone(),
        token,
    })
}
