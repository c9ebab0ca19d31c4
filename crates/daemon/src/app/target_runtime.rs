//! Runtime state of one target under a lease of this daemon.
//!
//! The state is created when the log assigns the target to this daemon. It outlives the loss of the lease until nothing
//! that this daemon sent to the target is running or in flight any more.

use crate::{
    calls::{CallBuffer, CallEnd, ExecuteRequest},
    targets::EngineClient,
};
use hoplanding_core::{
    config::{TargetConfig, TargetRole},
    ids::{AdapterVersion, FencingToken, Instant, RequestId, TargetName},
    ownership::HeldTarget,
    policy::{SchedulerLimits, TargetScheduler},
    request::{NotRunReason, RequestCall, Unsent},
};
use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Lifecycle phase of a held target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// The fencing token is being presented or the adapters are being listed.
    Preparing,
    /// Requests are dispatched to the target.
    Serving,
    /// Another daemon holds the lease; requests that this daemon started still run.
    Lost,
}

/// A request queued at a held target.
pub struct PendingCall {
    pub(super) request: ExecuteRequest,
    pub(super) buffer: Arc<CallBuffer>,
    pub(super) call: RequestCall<Unsent>,
}

impl PendingCall {
    /// Ends the request as not run, which is certain because no transport ever received it.
    pub(super) fn refuse(self, reason: NotRunReason) {
        self.buffer.end(CallEnd::NotRun(self.call.refuse(reason)));
    }
}

/// Progress of a change of the loaded adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStage {
    /// The unload intent was appended to the log and is not read back yet.
    AwaitingIntent {
        /// Number of the unload intent.
        number: u64,
    },
    /// The unload was sent to the target.
    Unloading {
        /// Number of the unload intent; none if the target checks fencing tokens.
        number: Option<u64>,
    },
    /// The load was sent to the target.
    Loading,
    /// The answer to the order was lost; a listing resolves the outcome once the order can no longer arrive.
    OutcomeUnknown {
        /// End of the delivery bound, after which the order can no longer arrive.
        until: Instant,
        /// Number of the unload intent; none for a load, or if the target checks fencing tokens.
        number: Option<u64>,
        /// Whether the order was a load rather than an unload.
        is_load: bool,
    },
}

/// An adapter load in progress, with the eviction that it may need first.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    pub(super) load: AdapterVersion,
    pub(super) evict: Option<AdapterVersion>,
    pub(super) stage: OrderStage,
    pub(super) since: Instant,
}

/// State of a target that this daemon holds or held before.
pub struct TargetRuntime {
    pub(super) lease: HeldTarget,
    pub(super) phase: TargetPhase,
    pub(super) config: TargetConfig,
    pub(super) client: EngineClient,
    pub(super) scheduler: TargetScheduler,
    /// Boot number of the engine, which changes with each restart; 0 before the first listing.
    pub(super) boot: u64,
    pub(super) pending_calls: HashMap<RequestId, PendingCall>,
    /// Streams whose end at the target is unconfirmed, each with the epoch of its end here.
    ///
    /// Each stream keeps its seat until the target no longer lists it.
    pub(super) unconfirmed_streams: HashMap<RequestId, (String, u64)>,
    /// Names of the streams that run at the target, by request.
    pub(super) streams: HashMap<RequestId, String>,
    pub(super) order: Option<PendingOrder>,
    /// Whether a listing is in flight.
    pub(super) is_listing: bool,
    pub(super) listed_at: Instant,
    pub(super) last_settle_query_at: Instant,
    pub(super) last_prepare_at: Instant,
    /// Counter of loads, unloads and ends of streams.
    ///
    /// A listing requested at an earlier epoch is stale.
    pub(super) epoch: u64,
    /// Whether the target answered with another adapter; an operator ends the quarantine by draining and undraining it.
    pub(super) is_quarantined: bool,
    /// Whether the target is considered reachable.
    pub(super) is_reachable: bool,
    /// Whether the target announces that it is about to leave.
    pub(super) is_leaving: bool,
    /// Tokens received from streams of this target since the last throughput sample.
    pub(super) streamed_tokens: Arc<AtomicU64>,
    pub(super) throughput_sampled_at: Instant,
}

impl TargetRuntime {
    pub(super) fn new(
        target: &TargetName,
        token: FencingToken,
        config: &TargetConfig,
        max_waiting: usize,
        http: &reqwest::Client,
        now: Instant,
    ) -> Self {
        let scheduler = match &config.role {
            TargetRole::Engine { slots, batch } => {
                let limits = SchedulerLimits {
                    slots: *slots as usize,
                    seats: *batch as usize,
                    waiting: max_waiting,
                };
                TargetScheduler::engine(target.clone(), limits)
            }
            TargetRole::Service { concurrency, .. } => {
                TargetScheduler::service(target.clone(), *concurrency as usize, max_waiting)
            }
        };
        Self {
            lease: HeldTarget::new(token, config.checks_fencing && is_engine(config)),
            phase: TargetPhase::Preparing,
            config: config.clone(),
            client: EngineClient::new(http, &config.address),
            scheduler,
            boot: 0,
            pending_calls: HashMap::new(),
            unconfirmed_streams: HashMap::new(),
            streams: HashMap::new(),
            order: None,
            is_listing: false,
            listed_at: Instant::default(),
            last_settle_query_at: Instant::default(),
            last_prepare_at: now,
            epoch: 0,
            is_quarantined: false,
            is_reachable: true,
            is_leaving: false,
            streamed_tokens: Arc::default(),
            throughput_sampled_at: now,
        }
    }

    pub(super) fn is_engine(&self) -> bool {
        is_engine(&self.config)
    }

    /// Whether requests may be dispatched to the target.
    pub(super) fn is_serving(&self) -> bool {
        self.phase == TargetPhase::Serving
    }

    /// Whether this daemon has no request running and no order open at the target.
    pub(super) fn is_idle(&self) -> bool {
        self.scheduler.running_len() == 0 && self.order.is_none()
    }

    /// Samples the token throughput of the target, which is representative only while at least three quarters of the
    /// seats are taken.
    pub(super) fn sample_throughput(&mut self, now: Instant) {
        let tokens = self.streamed_tokens.swap(0, Ordering::Relaxed);
        let seconds = now
            .since(std::mem::replace(&mut self.throughput_sampled_at, now))
            .as_secs_f64();
        let is_nearly_full = self.scheduler.running_len() * 4 >= self.scheduler.limits().seats * 3;
        if is_nearly_full && tokens > 0 && seconds > 0.0 {
            self.scheduler.record_throughput(tokens as f64 / seconds);
        }
    }

    /// Whether nothing sent under an earlier lease of this daemon can affect the target's current holder.
    pub(super) fn can_settle(&self) -> bool {
        match self.phase {
            TargetPhase::Lost => self.is_idle(),
            TargetPhase::Preparing | TargetPhase::Serving => self.order.is_none(),
        }
    }

    /// Starts a new lease on the target; requests in flight and an open order continue.
    pub(super) fn renew_lease(&mut self, token: FencingToken) {
        self.lease = HeldTarget::new(token, self.config.checks_fencing && self.is_engine());
        self.phase = TargetPhase::Preparing;
        self.is_listing = false;
    }

    /// Name of a call's stream at the target, prefixed with the fencing token to identify the holder that started it.
    pub(super) fn stream_name(&self, call: crate::calls::CallId) -> String {
        format!("{}.{call}", self.lease.token.0)
    }
}

fn is_engine(config: &TargetConfig) -> bool {
    matches!(config.role, TargetRole::Engine { .. })
}
