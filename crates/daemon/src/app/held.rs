//! One target that this daemon holds, or held.

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

/// Where a held target stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldPhase {
    /// Its token is being presented, or its adapters listed.
    Preparing,
    /// Requests go there.
    Serving,
    /// Another daemon is the holder; what runs here still runs.
    Lost,
}

/// A request that waits at a held target.
pub struct PendingCall {
    pub(super) request: ExecuteRequest,
    pub(super) buffer: Arc<CallBuffer>,
    pub(super) call: RequestCall<Unsent>,
}

impl PendingCall {
    /// Ends it as not run: it was never handed to a transport.
    pub(super) fn refuse(self, reason: NotRunReason) {
        self.buffer.end(CallEnd::NotRun(self.call.refuse(reason)));
    }
}

/// How far a change of the loaded adapters has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStage {
    /// The unload is announced in the log, and not read back yet.
    Announced {
        /// Number of the announcement.
        number: u64,
    },
    /// The unload was sent.
    Unloading {
        /// Number of the announcement, where one was needed.
        number: Option<u64>,
    },
    /// The load was sent.
    Loading,
    /// The answer to the order was lost; the target is asked once nothing of it can still arrive.
    InDoubt {
        /// When that is.
        until: Instant,
        /// Number of the announcement, where one was needed.
        number: Option<u64>,
        /// Whether the lost order was the load.
        was_load: bool,
    },
}

/// A change of the loaded adapters of a target.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    pub(super) load: AdapterVersion,
    pub(super) evict: Option<AdapterVersion>,
    pub(super) stage: OrderStage,
    pub(super) since: Instant,
}

/// A target that this daemon holds, or held.
pub struct HeldRuntime {
    pub(super) lease: HeldTarget,
    pub(super) phase: HeldPhase,
    pub(super) config: TargetConfig,
    pub(super) client: EngineClient,
    pub(super) scheduler: TargetScheduler,
    pub(super) boot: u64,
    pub(super) waiting: HashMap<RequestId, PendingCall>,
    /// Streams whose end is not certain: their seat stays taken until the target no longer lists them.
    pub(super) doubtful: HashMap<RequestId, (String, u64)>,
    pub(super) streams: HashMap<RequestId, String>,
    pub(super) order: Option<PendingOrder>,
    pub(super) list_in_flight: bool,
    pub(super) listed_at: Instant,
    pub(super) asked_settled_at: Instant,
    pub(super) prepare_at: Instant,
    /// Counts orders and ends of streams, so that a listing that was asked for before one is not believed after it.
    pub(super) epoch: u64,
    /// It answered with another adapter, and is out of use until an operator undrains it.
    pub(super) is_quarantined: bool,
    pub(super) is_reachable: bool,
    pub(super) says_leaving: bool,
    /// Tokens that streams of this target brought since the last look.
    pub(super) tokens: Arc<AtomicU64>,
    pub(super) speed_since: Instant,
}

impl HeldRuntime {
    pub(super) fn new(
        target: &TargetName,
        token: FencingToken,
        config: &TargetConfig,
        waiting_most: usize,
        http: &reqwest::Client,
        now: Instant,
    ) -> Self {
        let scheduler = match &config.role {
            TargetRole::Engine { slots, batch } => {
                let limits = SchedulerLimits {
                    slots: *slots as usize,
                    seats: *batch as usize,
                    waiting: waiting_most,
                };
                TargetScheduler::engine(target.clone(), limits)
            }
            TargetRole::Service { concurrency, .. } => {
                TargetScheduler::service(target.clone(), *concurrency as usize, waiting_most)
            }
        };
        Self {
            lease: HeldTarget::new(token, config.checks_fencing && is_engine(config)),
            phase: HeldPhase::Preparing,
            config: config.clone(),
            client: EngineClient::new(http, &config.address),
            scheduler,
            boot: 0,
            waiting: HashMap::new(),
            doubtful: HashMap::new(),
            streams: HashMap::new(),
            order: None,
            list_in_flight: false,
            listed_at: Instant::default(),
            asked_settled_at: Instant::default(),
            prepare_at: now,
            epoch: 0,
            is_quarantined: false,
            is_reachable: true,
            says_leaving: false,
            tokens: Arc::default(),
            speed_since: now,
        }
    }

    pub(super) fn is_engine(&self) -> bool {
        is_engine(&self.config)
    }

    /// Whether requests may go there.
    pub(super) fn is_serving(&self) -> bool {
        self.phase == HeldPhase::Serving
    }

    /// Whether nothing of this daemon runs or is on its way there.
    pub(super) fn is_idle(&self) -> bool {
        self.scheduler.running_len() == 0 && self.order.is_none()
    }

    /// Learns the target's speed from a second in which its batch was nearly full.
    pub(super) fn measure_speed(&mut self, now: Instant) {
        let tokens = self.tokens.swap(0, Ordering::Relaxed);
        let seconds = now
            .since(std::mem::replace(&mut self.speed_since, now))
            .as_secs_f64();
        let nearly_full = self.scheduler.running_len() * 4 >= self.scheduler.limits().seats * 3;
        if nearly_full && tokens > 0 && seconds > 0.0 {
            self.scheduler.record_throughput(tokens as f64 / seconds);
        }
    }

    /// Whether nothing that an earlier lease of this daemon sent can surprise the target's present holder.
    pub(super) fn is_past_quiet(&self) -> bool {
        match self.phase {
            HeldPhase::Lost => self.is_idle(),
            HeldPhase::Preparing | HeldPhase::Serving => self.order.is_none(),
        }
    }

    /// This daemon holds the target again; requests in flight and an order under way go on.
    pub(super) fn take_again(&mut self, token: FencingToken) {
        self.lease = HeldTarget::new(token, self.config.checks_fencing && self.is_engine());
        self.phase = HeldPhase::Preparing;
        self.list_in_flight = false;
    }

    /// Name of a call's stream at the target; the token tells whose it is.
    pub(super) fn stream_name(&self, call: crate::calls::CallId) -> String {
        format!("{}.{call}", self.lease.token.0)
    }
}

fn is_engine(config: &TargetConfig) -> bool {
    matches!(config.role, TargetRole::Engine { .. })
}
