//! The event loop: receives events and ticks, and dispatches them to [`AppState`].

use crate::{
    app::{AppEvent, AppState},
    clock,
};
use std::time::Duration;
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval},
};

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Handle for sending events to the event loop.
#[derive(Clone)]
pub struct AppHandle {
    events: mpsc::Sender<AppEvent>,
}

impl AppHandle {
    /// Creates a handle for the loop that receives from `events`.
    #[must_use]
    pub fn new(events: mpsc::Sender<AppEvent>) -> Self {
        Self { events }
    }

    /// Sends an event that expects no reply.
    pub async fn notify(&self, event: AppEvent) {
        // The send fails only after the event loop has ended.
        let _ = self.events.send(event).await;
    }

    /// Sends an event and waits for its reply; none if the event loop has ended.
    pub async fn request<T>(
        &self,
        question: impl FnOnce(oneshot::Sender<T>) -> AppEvent,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.events.send(question(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Returns the channel, for workers.
    #[must_use]
    pub fn sender(&self) -> mpsc::Sender<AppEvent> {
        self.events.clone()
    }
}

/// Runs the event loop until a planned stop is complete or all senders are gone.
pub async fn run_app(mut state: AppState, mut events: mpsc::Receiver<AppEvent>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    state.start();
    while !state.is_stopped() {
        let event = tokio::select! {
            event = events.recv() => match event {
                Some(event) => event,
                None => return,
            },
            _ = ticks.tick() => AppEvent::Tick,
        };
        state.handle(event);
    }
}

impl AppState {
    /// Handles one event.
    pub fn handle(&mut self, event: AppEvent) {
        let now = clock::now();
        match event {
            AppEvent::Tick => self.tick(now),
            AppEvent::LogRead(batch) => self.log_read(batch, now),
            AppEvent::LogExpired(earliest) => self.log_expired(earliest),
            AppEvent::LogUnreachable(cause) => self.log_unreachable(&cause),
            AppEvent::Appended(tickets, outcome) => self.appended(&tickets, outcome, now),
            AppEvent::VmsListed(list) => self.vms_listed(&list, now),
            AppEvent::LinkUp(vm) => self.link_up(&vm),
            AppEvent::LinkRefused(vm) => self.members.observe_refused(vm.as_str(), now),
            AppEvent::PeerReply(vm, message) => self.peer_reply(&vm, *message),
            AppEvent::PeerRequest(vm, message, back) => {
                self.peer_request(&vm, *message, &back, now)
            }
            AppEvent::Admit(request, reply) => answer(reply, self.admit(&request, now)),
            AppEvent::ListModels(bearer, reply) => answer(reply, self.list_models(&bearer)),
            AppEvent::IssueToken(bearer, reply) => answer(reply, self.issue_token(&bearer)),
            AppEvent::Submit(request, buffer) => self.submit(*request, buffer),
            AppEvent::Route(request, reply) => answer(reply, self.route(&request)),
            AppEvent::BeginIdempotent(key, fingerprint, reply) => {
                answer(reply, self.begin_idempotent(&key, fingerprint))
            }
            AppEvent::EndIdempotent(key, end) => self.end_idempotent(&key, end),
            AppEvent::ClaimKey(key, fingerprint, reply) => {
                self.claim_key(key, fingerprint, reply, now)
            }
            AppEvent::RequestEnded(caller) => self.request_ended(&caller),
            AppEvent::Execute(request, buffer) => self.execute(*request, buffer, now),
            AppEvent::CallAbandoned(call) => self.call_abandoned(call),
            AppEvent::FirstToken(call, target) => self.first_token(call, &target),
            AppEvent::StreamEnded(call, target, end) => self.stream_ended(call, &target, end, now),
            AppEvent::OrderDone(report) => self.order_finished(&report, now),
            AppEvent::Operator(request, reply) => self.operator_requested(&request, reply, now),
            AppEvent::IsReady(reply) => answer(reply, self.is_ready()),
            AppEvent::Stop(reply) => self.begin_stop(reply, now),
        }
    }

    fn tick(&mut self, now: hoplanding_core::ids::Instant) {
        self.tick_membership(now);
        self.tick_ownership(now);
        self.update_evictions(now);
        self.tick_holder(now);
        self.tick_orders(now);
        self.tick_heartbeat(now);
        self.tick_changes(now);
        self.tick_claims(now);
        self.tick_queries(now);
        self.tick_snapshot(now);
        self.tick_stop(now);
    }
}

fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    // The requester may no longer wait for the reply.
    let _ = reply.send(value);
}
