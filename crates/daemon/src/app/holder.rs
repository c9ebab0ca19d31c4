//! Request execution on held targets.
//!
//! A daemon that holds a target queues the requests sent to it, dispatches them as the scheduler allows, and tracks
//! their streams until the target no longer runs them.

use crate::{
    app::{
        AppEvent, AppState, OrderKind, StreamEnd,
        target_runtime::{PendingCall, TargetPhase, TargetRuntime},
    },
    calls::{CallBuffer, CallEnd, CallId, CallWork, ExecuteRequest, RunMode},
    event,
    events::Event,
    targets::{ServiceJob, StreamJob, run_service_call, run_stream},
};
use hoplanding_core::{
    ids::{AdapterVersion, Instant, RequestId, TargetName},
    ownership::FenceState,
    policy::{DispatchOrder, QueuedRequest, TargetScheduler},
    request::{NotRunReason, RequestCall},
};
use std::{sync::Arc, time::Duration};

/// Interval at which held targets are checked.
const HOLDER_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an answer is kept for a gateway whose link broke.
const REATTACH_TIMEOUT: Duration = Duration::from_secs(10);
/// Suggested retry delay, in milliseconds, when no target can take the request.
const NO_TARGET_RETRY_MS: u64 = 1000;

impl AppState {
    pub(super) fn execute(
        &mut self,
        request: ExecuteRequest,
        buffer: Arc<CallBuffer>,
        now: Instant,
    ) {
        let call = RequestCall::new(request.call.request);
        let Some(runtime) = self
            .held_targets
            .get_mut(&request.target)
            .filter(|runtime| runtime.phase != TargetPhase::Lost)
        else {
            buffer.end(CallEnd::NotRun(call.refuse(NotRunReason::NotHolder)));
            return;
        };
        if let RunMode::Resume { stream, from } = &request.mode {
            let (stream, from) = (stream.clone(), *from);
            self.resume(request, stream, from, buffer);
            return;
        }
        let queued = queued_request(&request, now);
        if runtime.is_engine() {
            self.popularity.record(&queued.model, now);
        }
        let id = queued.id;
        if let Err(refused) = runtime.scheduler.enqueue(queued, &self.weights) {
            self.workers.metrics.count("holder.refused");
            buffer.end(CallEnd::NotRun(call.refuse(refused.1)));
            return;
        }
        let target = request.target.clone();
        runtime.pending_calls.insert(
            id,
            PendingCall {
                request,
                buffer,
                call,
            },
        );
        self.dispatch_ready(&target, now);
        self.start_best_load(now);
    }

    /// Requests the rest of a stream from the target; an earlier holder may have started the stream.
    fn resume(
        &mut self,
        request: ExecuteRequest,
        stream: String,
        from: u64,
        buffer: Arc<CallBuffer>,
    ) {
        let Some(runtime) = self.held_targets.get_mut(&request.target) else {
            return;
        };
        let CallWork::Engine(work) = request.work else {
            buffer.end(CallEnd::Unknown(
                "a plain service's answer can't be asked for again".to_owned(),
            ));
            return;
        };
        let id = AppEvent::scheduler_id(request.call);
        // The seat of the broken attempt passes to this one.
        runtime
            .unconfirmed_streams
            .retain(|_, (name, _)| *name != stream);
        let previous: Vec<_> = runtime
            .streams
            .iter()
            .filter(|(_, name)| **name == stream)
            .map(|(id, _)| *id)
            .collect();
        runtime
            .scheduler
            .adopt_running(id, &work.model, request.class);
        for previous in previous {
            runtime.streams.remove(&previous);
            runtime
                .scheduler
                .finish_request(previous, crate::clock::now());
        }
        runtime.streams.insert(id, stream.clone());
        let job = StreamJob {
            call: request.call,
            target: request.target,
            client: runtime.client.clone(),
            token: runtime.lease.token,
            class: request.class,
            work,
            stream,
            from,
            start: None,
            load_stall: Duration::ZERO,
            tokens: Arc::clone(&runtime.streamed_tokens),
            buffer,
            events: self.workers.events.clone(),
        };
        tokio::spawn(run_stream(job));
    }

    /// Starts the queued requests that a target can take now.
    pub(super) fn dispatch_ready(&mut self, target: &TargetName, now: Instant) {
        let Some(runtime) = self
            .held_targets
            .get_mut(target)
            .filter(|runtime| runtime.is_serving())
        else {
            return;
        };
        let Some(ownership) = self.folded.ownership.target(target.as_str()) else {
            return;
        };
        loop {
            let lease = &runtime.lease;
            let next = runtime
                .scheduler
                .next_dispatch(&self.weights, now, |model| {
                    lease.can_dispatch(ownership, model)
                });
            let Some(order) = next else {
                break;
            };
            let Some(pending) = runtime.pending_calls.remove(&order.request.id) else {
                runtime.scheduler.finish_request(order.request.id, now);
                continue;
            };
            if pending.buffer.is_abandoned() {
                runtime.scheduler.finish_request(order.request.id, now);
                continue;
            }
            self.workers
                .metrics
                .time("holder.load_stall", order.load_stall);
            start_call(runtime, pending, &order, &self.workers);
        }
        self.observe_own_target(target);
    }

    /// Updates this daemon's own router with the state of a held target.
    pub(super) fn observe_own_target(&mut self, target: &TargetName) {
        let Some(runtime) = self
            .held_targets
            .get(target)
            .filter(|runtime| runtime.is_serving())
        else {
            return;
        };
        let router = if runtime.is_engine() {
            &mut self.engines
        } else {
            &mut self.services
        };
        let digest = runtime
            .scheduler
            .digest(Some(router.known_residents_revision(target.as_str())));
        router.update_digest(&self.zone, &digest);
    }

    pub(super) fn call_abandoned(&mut self, call: CallId) {
        let id = AppEvent::scheduler_id(call);
        for runtime in self.held_targets.values_mut() {
            if let Some(pending) = runtime.pending_calls.remove(&id) {
                let model = model_of(&pending.request);
                runtime.scheduler.cancel_waiting(&model, id);
                pending.refuse(NotRunReason::Cancelled);
                return;
            }
        }
    }

    pub(super) fn first_token(&mut self, call: CallId, target: &TargetName) {
        if let Some(runtime) = self.held_targets.get_mut(target) {
            runtime
                .scheduler
                .finish_prefill(AppEvent::scheduler_id(call));
        }
    }

    pub(super) fn stream_ended(
        &mut self,
        call: CallId,
        target: &TargetName,
        end: StreamEnd,
        now: Instant,
    ) {
        let id = AppEvent::scheduler_id(call);
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        runtime.epoch += 1;
        let is_engine = runtime.is_engine();
        let stream = runtime.streams.remove(&id);
        match end {
            StreamEnd::Complete { boot } => {
                runtime.scheduler.finish_request(id, now);
                runtime.is_reachable = true;
                if boot != runtime.boot {
                    self.send_order(target, OrderKind::List);
                }
            }
            StreamEnd::Refused => {
                runtime.scheduler.finish_request(id, now);
                self.send_order(target, OrderKind::List);
            }
            StreamEnd::Unreachable => {
                runtime.scheduler.finish_request(id, now);
                self.target_unreachable(target);
            }
            StreamEnd::WrongModel => {
                runtime.is_quarantined = true;
                mark_unconfirmed(runtime, id, stream);
                self.apply_targets();
            }
            StreamEnd::Ended | StreamEnd::Broken if is_engine => {
                mark_unconfirmed(runtime, id, stream);
                self.send_order(target, OrderKind::List);
            }
            StreamEnd::Ended | StreamEnd::Broken => runtime.scheduler.finish_request(id, now),
        }
        self.dispatch_ready(target, now);
        self.start_best_load(now);
        self.expedite_settlement(target);
    }

    fn expedite_settlement(&mut self, target: &TargetName) {
        // Resetting the timer lets the next tick settle the lease without waiting for the interval.
        if self
            .held_targets
            .get(target)
            .is_some_and(|runtime| runtime.phase == TargetPhase::Lost && runtime.is_idle())
        {
            self.last.ownership = Instant::default();
        }
    }

    pub(super) fn target_unreachable(&mut self, target: &TargetName) {
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        if std::mem::take(&mut runtime.is_reachable) {
            event!(Event::TargetUnreachable, "{target}");
        }
        let was_serving = runtime.phase == TargetPhase::Serving;
        if was_serving && runtime.is_engine() {
            runtime.phase = TargetPhase::Preparing;
        }
        self.engines.set_reachable(target.as_str(), false);
        self.services.set_reachable(target.as_str(), false);
        self.refuse_waiting(
            target,
            &NotRunReason::NoTarget {
                retry_after_ms: NO_TARGET_RETRY_MS,
            },
        );
    }

    pub(super) fn tick_holder(&mut self, now: Instant) {
        if now.since(self.last.holder_tick) < HOLDER_TICK_INTERVAL {
            return;
        }
        self.last.holder_tick = now;
        self.workers.calls.remove_expired(REATTACH_TIMEOUT);
        self.refuse_overdue(now);
        let targets: Vec<_> = self.held_targets.keys().cloned().collect();
        for target in &targets {
            let Some(runtime) = self.held_targets.get_mut(target) else {
                continue;
            };
            runtime.sample_throughput(now);
            runtime
                .scheduler
                .drain_for_starved_load(&self.popularity, now);
            // A former holder has to learn which of its streams ended, otherwise its lease would never be settled.
            let needs_listing = match runtime.phase {
                TargetPhase::Serving => true,
                TargetPhase::Lost => !runtime.unconfirmed_streams.is_empty(),
                TargetPhase::Preparing => false,
            };
            if runtime.is_engine() && needs_listing {
                self.send_order(target, OrderKind::List);
            }
            if self
                .held_targets
                .get(target)
                .is_some_and(|runtime| !runtime.is_engine() && !runtime.is_reachable)
            {
                self.retry_service(target);
            }
            self.refuse_unloadable(target);
            self.dispatch_ready(target, now);
        }
        self.report_gauges();
    }

    /// Refuses queued requests whose adapter can't be loaded here, so that another target takes them.
    fn refuse_unloadable(&mut self, target: &TargetName) {
        let Some(runtime) = self
            .held_targets
            .get_mut(target)
            .filter(|runtime| runtime.is_serving())
        else {
            return;
        };
        for queued in runtime.scheduler.drain_unloadable() {
            if let Some(pending) = runtime.pending_calls.remove(&queued.id) {
                let reason = NotRunReason::NoTarget {
                    retry_after_ms: NO_TARGET_RETRY_MS,
                };
                pending.refuse(reason);
            }
        }
    }

    /// Updates whether the scheduler may evict adapters under the current ownership of each target.
    pub(super) fn update_evictions(&mut self, now: Instant) {
        for (target, runtime) in &mut self.held_targets {
            let ownership = self.folded.ownership.target(target.as_str());
            let may_plan =
                ownership.is_some_and(|ownership| runtime.lease.check_unload(ownership, 0).is_ok());
            // An unload on a target that does not check fencing tokens needs an intent in the log.
            let can_announce =
                runtime.lease.fence == FenceState::Acknowledged || self.feed.is_reachable;
            runtime.scheduler.set_may_evict(may_plan && can_announce);
            runtime.scheduler.update_victim_rate(&self.popularity, now);
        }
    }

    /// Marks an unreachable plain service as reachable again, at the next one-second tick.
    fn retry_service(&mut self, target: &TargetName) {
        if let Some(runtime) = self.held_targets.get_mut(target) {
            runtime.is_reachable = true;
        }
        self.observe_own_target(target);
    }

    fn refuse_overdue(&mut self, now: Instant) {
        for runtime in self.held_targets.values_mut() {
            for overdue in runtime.scheduler.remove_overdue(&self.weights, now) {
                if let Some(pending) = runtime.pending_calls.remove(&overdue.id) {
                    let reason = NotRunReason::DeadlinePassed {
                        retry_after_ms: NO_TARGET_RETRY_MS,
                    };
                    pending.refuse(reason);
                }
            }
        }
    }

    fn report_gauges(&self) {
        let running: usize = self
            .held_targets
            .values()
            .map(|runtime| runtime.scheduler.running_len())
            .sum();
        let waiting: usize = self
            .held_targets
            .values()
            .map(|runtime| runtime.scheduler.waiting().len())
            .sum();
        self.workers.metrics.gauge("holder.running", running as u64);
        self.workers.metrics.gauge("holder.waiting", waiting as u64);
        self.workers
            .metrics
            .gauge("gateway.open", self.open_requests as u64);
        self.workers
            .metrics
            .gauge("log.applied", self.folded.applied.0);
    }

    /// Refuses requests whose adapter failed to load.
    pub(super) fn refuse_load_failed(&mut self, target: &TargetName, refused: &[QueuedRequest]) {
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        for queued in refused {
            if let Some(pending) = runtime.pending_calls.remove(&queued.id) {
                let reason = NotRunReason::LoadFailed {
                    retry_after_ms: NO_TARGET_RETRY_MS,
                };
                pending.refuse(reason);
            }
        }
    }
}

/// Keeps the seat of a stream until a listing confirms that it ended at the target.
fn mark_unconfirmed(runtime: &mut TargetRuntime, id: RequestId, stream: Option<String>) {
    match stream {
        Some(stream) => {
            runtime
                .unconfirmed_streams
                .insert(id, (stream, runtime.epoch));
        }
        None => runtime.scheduler.finish_request(id, crate::clock::now()),
    }
}

fn start_call(
    runtime: &mut TargetRuntime,
    pending: PendingCall,
    order: &DispatchOrder,
    workers: &crate::app::AppWorkers,
) {
    let PendingCall {
        request,
        buffer,
        call,
    } = pending;
    match request.work {
        CallWork::Engine(work) => {
            let stream = runtime.stream_name(request.call);
            runtime.streams.insert(order.request.id, stream.clone());
            let job = StreamJob {
                call: request.call,
                target: request.target,
                client: runtime.client.clone(),
                token: runtime.lease.token,
                class: request.class,
                work,
                stream,
                from: 0,
                start: Some(call),
                load_stall: order.load_stall,
                tokens: Arc::clone(&runtime.streamed_tokens),
                buffer,
                events: workers.events.clone(),
            };
            tokio::spawn(run_stream(job));
        }
        CallWork::Service(work) => {
            let job = ServiceJob {
                call: request.call,
                target: request.target,
                address: runtime.config.address.clone(),
                work,
                request: call,
                buffer,
                events: workers.events.clone(),
            };
            tokio::spawn(run_service_call(workers.http.clone(), job));
        }
    }
}

fn queued_request(request: &ExecuteRequest, now: Instant) -> QueuedRequest {
    let (prompt_tokens, output_tokens) = match &request.work {
        CallWork::Engine(work) => (work.prompt_tokens, work.output_tokens),
        CallWork::Service(_) => (0, 1),
    };
    QueuedRequest {
        id: AppEvent::scheduler_id(request.call),
        model: model_of(request),
        class: request.class,
        caller: request.caller.clone(),
        prompt_tokens,
        output_tokens,
        queued_at: now,
        deadline: now.after(Duration::from_millis(request.deadline_ms)),
    }
}

/// Returns the adapter of a request; a plain service counts as one adapter that is always loaded.
fn model_of(request: &ExecuteRequest) -> AdapterVersion {
    match &request.work {
        CallWork::Engine(work) => work.model.clone(),
        CallWork::Service(work) => AdapterVersion::new(work.service.as_str(), "-"),
    }
}

pub(super) fn has_loaded(scheduler: &TargetScheduler, model: &AdapterVersion) -> bool {
    scheduler
        .residents()
        .iter()
        .any(|resident| resident.model == *model)
}
