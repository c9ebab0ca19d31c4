//! Metrics of this VM in direct mode, as a page in the OpenMetrics text format.
//!
//! The `cadence` crate only sends to statsd and serves no page, so the direct mode uses `prometheus-client`.

use crate::{
    clock,
    direct::{call::AdmissionFault, fleet::FleetState},
    event,
    events::Event,
    logging::dropped_lines,
};
use hoplanding_core::{
    direct::{
        catalog::TargetStage,
        config::{ResponseShape, RetryPolicy, RouteRule},
        plain_pace::PaceCounts,
        planner::{CacheTransfer, EngineCounts, SlotWait, SlotWaitEnd},
        quotas::BucketCounts,
        return_schedule::ReturnCounts,
        versions::{CacheVersions, VersionAge, VersionMatch},
    },
    ids::{OrganisationName, ServiceName},
};
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use std::{cmp::Reverse, fs, time::Duration};

/// Upper bounds of the histogram buckets, in seconds. They cover the range of callers' latency objectives and deadlines.
const BUCKET_BOUNDS_S: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10.0];
/// Organisations that have a time series of their own.
const MAX_ORGANISATIONS: usize = 64;
/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

/// Kind of a request, by how its answer is forwarded and whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestKind {
    /// The answer is a stream of events.
    Stream,
    /// The answer is forwarded whole, and the request may run more than once.
    Idempotent,
    /// The answer is forwarded whole, and the request may run only once.
    Once,
    /// No route matches host and path.
    Unrouted,
}

impl RequestKind {
    /// Kind of the requests of a route.
    #[must_use]
    pub fn of(route: &RouteRule) -> Self {
        match (&route.response_shape, route.retry_policy) {
            (ResponseShape::EventStream { .. }, _) => Self::Stream,
            (ResponseShape::Buffered, RetryPolicy::Idempotent) => Self::Idempotent,
            (ResponseShape::Buffered, RetryPolicy::AtMostOnce) => Self::Once,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestOutcome {
    /// The complete answer was forwarded.
    Answered,
    /// A target's failure answer was forwarded.
    TargetFailed,
    /// Refused without having run.
    Refused,
    /// The request may have run, but no complete answer arrived.
    Lost,
    /// The stream broke off after its start.
    BrokenOff,
    /// The caller's connection ended before the end of its answer.
    CallerLeft,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: RequestKind,
    outcome: RequestOutcome,
}

/// Why a call went to a target outside its gateway's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum DepartureCause {
    /// The target's zone is the home zone of the call's adapter.
    Home,
    /// The target's zone has the adapter loaded.
    Adapter,
    /// The wait is shorter there.
    Wait,
    /// The gateway's zone has no target of the service.
    NoTarget,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DepartureLabels {
    cause: DepartureCause,
}

/// Outcome of a call to the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum LogOutcome {
    /// The log answered.
    Answered,
    /// The log refused the call or did not answer.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LogLabels {
    topic: &'static str,
    outcome: LogOutcome,
}

/// Origin of a proof that the configuration is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ProofSource {
    /// A read of the log by this VM.
    Read,
    /// Another VM forwarded it.
    Forwarded,
    /// None: a read that proves nothing, as the log may lack newer records after a restore.
    Guarded,
    /// None: a read that proves nothing, as the keys of the newest configuration can't be read.
    Unreadable,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProofLabels {
    source: ProofSource,
}

/// Result of a connection attempt to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ConnectResult {
    /// The target accepted the connection.
    Connected,
    /// The target's address refused it.
    Refused,
    /// The connection was reset while it was made.
    Reset,
    /// No answer within the time limit.
    TimedOut,
    /// Another error, such as an unreachable network.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectLabels {
    result: ConnectResult,
}

/// Result of asking another VM for a connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum TunnelResult {
    /// The tunnel was opened.
    Opened,
    /// The other VM reaches the zone but not the target.
    TargetFailed,
    /// The other VM has lost its path to the zone as well.
    PathLost,
    /// The other VM takes no more tunnels.
    Refused,
    /// The other VM could not be reached.
    PeerUnreachable,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TunnelLabels {
    result: TunnelResult,
}

/// A bound that an answer of a target exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AnswerBound {
    /// Of what comes before the final head.
    Head,
    /// Of one buffered body.
    Body,
    /// Of one event of a stream.
    Event,
    /// Of all buffered answers of this VM.
    Vm,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BoundLabels {
    bound: AnswerBound,
}

/// Why a record is forwarded to another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ForwardReason {
    /// The record is new to the other VM.
    News,
    /// The other VM requested the record.
    Answer,
}

/// Who continued a stream after it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ResumeOrigin {
    /// The relay, under the answer that the caller already has.
    Relay,
    /// The caller, with a new call.
    Caller,
}

/// Software version of the target at which a stream continued, compared with the one that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ResumeVersion {
    /// The same version.
    Same,
    /// Another version.
    Other,
    /// This VM does not know which version began the stream.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResumeLabels {
    origin: ResumeOrigin,
    version: ResumeVersion,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ForwardLabels {
    reason: ForwardReason,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AdmissionFaultLabels {
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SuspectLabels {
    state: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QuotaLabels {
    organisation: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReturnLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PaceLabels {
    state: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    allowed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionLabels {
    taken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MoveLabels {
    versions: &'static str,
    told: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SlotWaitLabels {
    rank: u8,
    end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    stage: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EngineLabels {
    service: String,
    state: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Who found that a placement concerns another service than the one that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum MismatchSide {
    /// A holder without a plan for the service of a request.
    Holder,
    /// A gateway that was told a target of another service.
    Gateway,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MismatchLabels {
    side: MismatchSide,
}

/// Metrics of this VM in direct mode.
#[derive(Debug)]
pub struct DirectMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    admission_faults: Family<AdmissionFaultLabels, Counter>,
    quotas: Family<QuotaLabels, Gauge>,
    returns: Family<ReturnLabels, Gauge>,
    paces: Family<PaceLabels, Gauge>,
    suspects: Family<SuspectLabels, Gauge>,
    log_calls: Family<LogLabels, Counter>,
    key_proofs: Family<ProofLabels, Counter>,
    forwarded_records: Family<ForwardLabels, Counter>,
    resumed_streams: Family<ResumeLabels, Counter>,
    placing: Histogram,
    first_event: Histogram,
    connections: Family<ConnectionLabels, Counter>,
    queue_delay: Histogram,
    is_overloaded: Gauge,
    targets: Family<StageLabels, Gauge>,
    pending_removals: Gauge,
    prompt_moves: Family<MoveLabels, Counter>,
    slot_waits: Family<SlotWaitLabels, Counter>,
    slot_queue: Gauge,
    target_connects: Family<ConnectLabels, Counter>,
    tunnels: Family<TunnelLabels, Counter>,
    answers_over_bound: Family<BoundLabels, Counter>,
    buffered: Gauge,
    departures: Family<DepartureLabels, Counter>,
    remote_bytes: Counter,
    skipped_zones: Counter,
    engines: Family<EngineLabels, Gauge>,
    overdue_prompts: Family<ServiceLabels, Gauge>,
    service_mismatches: Family<MismatchLabels, Counter>,
    in_flight: Gauge,
    config_version: Gauge,
    vms: Gauge,
    is_holder: Gauge,
    lines_dropped: Gauge,
    memory: Gauge,
}

impl DirectMetrics {
    /// Registers all metrics, starting at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("hoplanding"),
            requests: Family::default(),
            retries: Family::default(),
            admission_faults: Family::default(),
            quotas: Family::default(),
            returns: Family::default(),
            paces: Family::default(),
            suspects: Family::default(),
            log_calls: Family::default(),
            key_proofs: Family::default(),
            forwarded_records: Family::default(),
            resumed_streams: Family::default(),
            placing: Histogram::new(BUCKET_BOUNDS_S),
            first_event: Histogram::new(BUCKET_BOUNDS_S),
            connections: Family::default(),
            queue_delay: Histogram::new(BUCKET_BOUNDS_S),
            is_overloaded: Gauge::default(),
            targets: Family::default(),
            pending_removals: Gauge::default(),
            prompt_moves: Family::default(),
            slot_waits: Family::default(),
            slot_queue: Gauge::default(),
            target_connects: Family::default(),
            tunnels: Family::default(),
            answers_over_bound: Family::default(),
            buffered: Gauge::default(),
            departures: Family::default(),
            remote_bytes: Counter::default(),
            skipped_zones: Counter::default(),
            engines: Family::default(),
            overdue_prompts: Family::default(),
            service_mismatches: Family::default(),
            in_flight: Gauge::default(),
            config_version: Gauge::default(),
            vms: Gauge::default(),
            is_holder: Gauge::default(),
            lines_dropped: Gauge::default(),
            memory: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by kind and outcome",
            self.requests.clone(),
        );
        registry.register(
            "return_times",
            "Return times of refused calls that this VM assigned as its zone's holder, and what became of them, since it holds it",
            self.returns.clone(),
        );
        registry.register(
            "plain_paces",
            "Plain services that this VM places calls of as a zone's holder: slow targets now; calls placed though expected late, and calls dropped without a report of their end, since it holds it",
            self.paces.clone(),
        );
        registry.register(
            "repeats",
            "Repeats asked of the retry budget",
            self.retries.clone(),
        );
        registry.register(
            "key_refusals",
            "Requests that were not let in for their key, by cause",
            self.admission_faults.clone(),
        );
        registry.register(
            "resumed_streams",
            "Streams that continued after they broke, by who continued them and by the software version of the target",
            self.resumed_streams.clone(),
        );
        registry.register(
            "quota_units",
            "Units of organisations' quotas that this VM paid out as its zone's holder, and that it did not, since it holds it",
            self.quotas.clone(),
        );
        registry.register(
            "suspects",
            "Requests under which targets ended, as this VM knows as its zone's holder",
            self.suspects.clone(),
        );
        registry.register(
            "log_calls",
            "Calls to the platform's log",
            self.log_calls.clone(),
        );
        registry.register(
            "key_proofs",
            "Proofs that no key was revoked, by source, and reads that prove nothing while a restored log is guarded",
            self.key_proofs.clone(),
        );
        registry.register(
            "records_passed",
            "Records of the platform's log passed on to other VMs, by reason",
            self.forwarded_records.clone(),
        );
        registry.register_with_unit(
            "placing",
            "Time until a request had a target",
            Unit::Seconds,
            self.placing.clone(),
        );
        registry.register_with_unit(
            "first_event",
            "Time until a stream's first event went out",
            Unit::Seconds,
            self.first_event.clone(),
        );
        registry.register(
            "connections",
            "New connections of callers, and whether they were taken or closed unread",
            self.connections.clone(),
        );
        registry.register_with_unit(
            "queue_delay",
            "Time that the work of new connections waited for this VM's processor",
            Unit::Seconds,
            self.queue_delay.clone(),
        );
        registry.register(
            "overloaded",
            "Whether this VM has more work than processor time",
            self.is_overloaded.clone(),
        );
        registry.register("targets", "Targets by stage", self.targets.clone());
        registry.register(
            "targets_doubted",
            "Targets whose removal is in doubt",
            self.pending_removals.clone(),
        );
        registry.register(
            "prompt_moves",
            "Prompts of which another target has read parts, by how the versions of both stand and whether the parts move",
            self.prompt_moves.clone(),
        );
        registry.register(
            "slot_waits",
            "Waits of calls for an adapter slot by rank and how they ended",
            self.slot_waits.clone(),
        );
        registry.register(
            "slot_queue",
            "Calls that wait for an adapter slot of this VM's zone",
            self.slot_queue.clone(),
        );
        registry.register(
            "target_connects",
            "Connection attempts to targets by result",
            self.target_connects.clone(),
        );
        registry.register(
            "tunnels",
            "Tunnels to targets that other VMs were asked for, by result",
            self.tunnels.clone(),
        );
        registry.register(
            "answers_over_bound",
            "Answers of targets that exceeded a bound",
            self.answers_over_bound.clone(),
        );
        registry.register_with_unit(
            "buffered_answers",
            "Answers that are buffered until they are complete, or until callers have them",
            Unit::Bytes,
            self.buffered.clone(),
        );
        registry.register(
            "zone_departures",
            "Calls placed at targets outside this VM's zone, by cause",
            self.departures.clone(),
        );
        registry.register(
            "remote_bytes",
            "Bytes of request bodies sent to targets outside this VM's zone",
            self.remote_bytes.clone(),
        );
        registry.register(
            "zones_skipped",
            "Placement requests that were not made because of a zone's report",
            self.skipped_zones.clone(),
        );
        registry.register(
            "zone_engines",
            "Engines of the zone that this VM holds, and those of them that it avoids, by service",
            self.engines.clone(),
        );
        registry.register(
            "overdue_prompts",
            "Prompts sent to the engines of the zone that this VM holds whose first event is overdue, by service",
            self.overdue_prompts.clone(),
        );
        registry.register(
            "service_mismatches",
            "Placements for another service than the one asked for, by who found it",
            self.service_mismatches.clone(),
        );
        registry.register("in_flight", "Requests at targets", self.in_flight.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force; 0 before the first",
            self.config_version.clone(),
        );
        registry.register("vms", "VMs that recorded themselves", self.vms.clone());
        registry.register(
            "zone_held",
            "Whether this VM holds its zone's lease",
            self.is_holder.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines that were not written",
            self.lines_dropped.clone(),
        );
        registry.register_with_unit(
            "memory",
            "Resident memory",
            Unit::Bytes,
            self.memory.clone(),
        );
    }

    /// Counts a new connection of a caller.
    pub fn count_connection(&self, taken: bool) {
        let labels = ConnectionLabels { taken };
        self.connections.get_or_create(&labels).inc();
    }

    /// Observes how long the work of a new connection waited for this VM's processor.
    pub fn observe_queue_delay(&self, delay: Duration) {
        self.queue_delay.observe(delay.as_secs_f64());
    }

    /// Sets whether this VM has more work than processor time.
    pub fn set_overloaded(&self, is_overloaded: bool) {
        self.is_overloaded.set(i64::from(is_overloaded));
    }

    /// Counts a request that ended.
    pub fn count_request(&self, kind: RequestKind, outcome: RequestOutcome) {
        let labels = RequestLabels { kind, outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a request that was not admitted.
    pub fn count_admission_fault(&self, fault: AdmissionFault) {
        let cause = fault.label();
        self.admission_faults
            .get_or_create(&AdmissionFaultLabels { cause })
            .inc();
    }

    /// Sets the units granted and refused by a zone's holder, for the organisations that requested the most. Their number is limited
    /// to bound the number of time series.
    pub fn set_quota_counts<'a>(
        &self,
        counts: impl Iterator<Item = (&'a OrganisationName, BucketCounts)>,
    ) {
        let mut counts: Vec<_> = counts.collect();
        counts.sort_by_key(|(name, counts)| (Reverse(counts.granted + counts.refused), *name));
        counts.truncate(MAX_ORGANISATIONS);
        self.quotas.clear();
        for (name, counts) in counts {
            for (outcome, units) in [("paid", counts.granted), ("refused", counts.refused)] {
                let organisation = name.to_string();
                let labels = QuotaLabels {
                    organisation,
                    outcome,
                };
                self.quotas
                    .get_or_create(&labels)
                    .set(saturating_i64(units));
            }
        }
    }

    /// Sets what became of the return times that a zone's holder assigned.
    pub fn set_return_counts(&self, counts: ReturnCounts) {
        for (outcome, count) in [
            ("assigned", counts.assigned),
            ("kept", counts.kept),
            ("displaced", counts.displaced),
            ("expired", counts.expired),
        ] {
            self.returns
                .get_or_create(&ReturnLabels { outcome })
                .set(saturating_i64(count));
        }
    }

    /// Sets what a zone's holder decided by the paces of plain services' targets.
    pub fn set_pace_counts(&self, counts: PaceCounts) {
        for (state, count) in [
            ("slow_targets", counts.slow_targets as u64),
            ("late_placed", counts.late_placed),
            ("dropped", counts.dropped),
        ] {
            self.paces
                .get_or_create(&PaceLabels { state })
                .set(saturating_i64(count));
        }
    }

    /// Sets the number of requests that a zone's holder suspects, and the number of those that are quarantined.
    pub fn set_suspect_counts(&self, (suspected, quarantined): (usize, usize)) {
        for (state, count) in [("suspected", suspected), ("sent_nowhere", quarantined)] {
            let labels = SuspectLabels { state };
            self.suspects
                .get_or_create(&labels)
                .set(saturating_i64(count as u64));
        }
    }

    /// Counts a retry that was requested from the retry budget.
    pub fn count_retry(&self, allowed: bool) {
        self.retries.get_or_create(&RetryLabels { allowed }).inc();
    }

    /// Sets the number of calls that wait for an adapter slot.
    pub fn set_slot_queue(&self, waiting: u32) {
        self.slot_queue.set(i64::from(waiting));
    }

    /// Counts and logs the end of a call's wait for an adapter slot.
    pub fn count_slot_wait(&self, wait: &SlotWait) {
        let end = match wait.end {
            SlotWaitEnd::Placed => "placed",
            SlotWaitEnd::Expired => "expired",
            SlotWaitEnd::Displaced => "displaced",
        };
        let rank = wait.rank;
        let labels = SlotWaitLabels { rank, end };
        self.slot_waits.get_or_create(&labels).inc();
        event!(
            Event::SlotWaitEnded,
            "{}#{}: {} of rank {rank} after {:?}, {:?}",
            wait.key.vm,
            wait.key.number,
            wait.subject,
            wait.waited,
            wait.end
        );
    }

    /// Counts, and logs, a prompt of which the chosen engine could fetch cached parts from another one, whether or not it is instructed
    /// to.
    pub fn count_prompt_move(&self, service: &ServiceName, prompt_move: &CacheTransfer) {
        let now = clock::now();
        let versions = match prompt_move.version_match() {
            VersionMatch::Same => "same",
            VersionMatch::Different => "unlike",
            VersionMatch::Unknown => "unknown",
        };
        let told = prompt_move.is_permitted;
        let labels = MoveLabels { versions, told };
        self.prompt_moves.get_or_create(&labels).inc();
        let describe = |versions: &CacheVersions| {
            let [base, adapter] =
                [versions.base, versions.adapter].map(|observed| VersionAge { observed, now });
            format!("base {base}, adapter {adapter}")
        };
        event!(
            Event::KvFetchOffered,
            "{}#{}: {} of {service} from {} ({}) to {} ({}), named {:?}, told {told}",
            prompt_move.key.vm,
            prompt_move.key.number,
            prompt_move.subject,
            prompt_move.source,
            describe(&prompt_move.source_versions),
            prompt_move.target,
            describe(&prompt_move.target_versions),
            prompt_move.named_version
        );
    }

    /// Counts a call to the platform's log.
    pub fn count_log_call(&self, topic: &'static str, outcome: LogOutcome) {
        let labels = LogLabels { topic, outcome };
        self.log_calls.get_or_create(&labels).inc();
    }

    /// Counts a proof that no key was revoked.
    pub fn count_key_proof(&self, source: ProofSource) {
        self.key_proofs.get_or_create(&ProofLabels { source }).inc();
    }

    /// Counts a call placed at a target outside this VM's zone.
    pub fn count_departure(&self, cause: DepartureCause) {
        let labels = DepartureLabels { cause };
        self.departures.get_or_create(&labels).inc();
    }

    /// Counts bytes sent to a target outside this VM's zone.
    pub fn count_remote_bytes(&self, bytes: u64) {
        self.remote_bytes.inc_by(bytes);
    }

    /// Counts placement requests that were not made because of zones' reports.
    pub fn count_skipped_zones(&self, requests: u32) {
        self.skipped_zones.inc_by(u64::from(requests));
    }

    /// Counts a connection attempt to a target.
    pub fn count_connect(&self, result: ConnectResult) {
        let labels = ConnectLabels { result };
        self.target_connects.get_or_create(&labels).inc();
    }

    /// Counts an answer of a target that exceeded a bound.
    pub fn count_over_bound(&self, bound: AnswerBound) {
        let labels = BoundLabels { bound };
        self.answers_over_bound.get_or_create(&labels).inc();
    }

    /// Counts a tunnel that another VM was asked for.
    pub fn count_tunnel(&self, result: TunnelResult) {
        self.tunnels.get_or_create(&TunnelLabels { result }).inc();
    }

    /// Sets what a zone's holder knows of the engines of each service; there are none if this VM holds no zone.
    pub fn set_engine_counts<'a>(
        &self,
        counts: impl Iterator<Item = (&'a ServiceName, EngineCounts)>,
    ) {
        // A service that lost its plan leaves no series behind.
        self.engines.clear();
        self.overdue_prompts.clear();
        for (service, counts) in counts {
            for (state, count) in [
                ("listed", counts.listed),
                ("unreachable", counts.unreachable),
                ("degraded", counts.degraded),
            ] {
                let service = service.to_string();
                self.engines
                    .get_or_create(&EngineLabels { service, state })
                    .set(saturating_i64(count as u64));
            }
            let service = service.to_string();
            self.overdue_prompts
                .get_or_create(&ServiceLabels { service })
                .set(saturating_i64(counts.overdue_prompts as u64));
        }
    }

    /// Counts a placement that concerns another service than the one that was asked for.
    pub fn count_service_mismatch(&self, side: MismatchSide) {
        self.service_mismatches
            .get_or_create(&MismatchLabels { side })
            .inc();
    }

    /// Counts records that were forwarded to another VM.
    pub fn count_forwarded_records(&self, reason: ForwardReason, records: usize) {
        let labels = ForwardLabels { reason };
        self.forwarded_records
            .get_or_create(&labels)
            .inc_by(records as u64);
    }

    /// Counts a stream that continued after it broke.
    pub fn count_resumed_stream(&self, origin: ResumeOrigin, version: ResumeVersion) {
        let labels = ResumeLabels { origin, version };
        self.resumed_streams.get_or_create(&labels).inc();
    }

    /// Records the time from a request's arrival until it had a target.
    pub fn observe_placement(&self, elapsed: Duration) {
        self.placing.observe(elapsed.as_secs_f64());
    }

    /// Records the time from a stream's request to its first event.
    pub fn observe_first_event(&self, elapsed: Duration) {
        self.first_event.observe(elapsed.as_secs_f64());
    }

    /// The metrics page, with gauges taken from the current fleet state.
    #[must_use]
    pub fn page(&self, fleet: &FleetState) -> String {
        self.update_gauges(fleet);
        self.lines_dropped
            .set(saturating_i64(dropped_lines() as u64));
        self.memory.set(saturating_i64(resident_bytes()));
        let mut page = String::new();
        if let Err(error) = encode(&mut page, &self.registry) {
            event!(Event::MetricsWriteFailed, "{error}");
        }
        page
    }

    fn update_gauges(&self, fleet: &FleetState) {
        let buffered = fleet.answer_buffers.total_bytes();
        self.buffered.set(saturating_i64(buffered as u64));
        let tables = fleet.tables();
        for (stage, name) in [
            (TargetStage::Ready, "ready"),
            (TargetStage::Draining, "draining"),
        ] {
            let count = tables.catalog.iter().filter(|entry| entry.stage == stage);
            let gauge = self.targets.get_or_create(&StageLabels { stage: name });
            gauge.set(saturating_i64(count.count() as u64));
        }
        self.pending_removals
            .set(saturating_i64(tables.catalog.pending_removals() as u64));
        let in_flight: u32 = tables.in_flight.values().sum();
        self.in_flight.set(i64::from(in_flight));
        let version = tables
            .active
            .as_ref()
            .map_or(0, |active| active.config.version);
        self.config_version.set(saturating_i64(version));
        self.vms.set(saturating_i64(tables.vms.len() as u64));
        let holder = tables
            .leases
            .get(&fleet.zone)
            .and_then(|state| state.holder());
        self.is_holder.set(i64::from(holder == Some(&fleet.vm)));
    }
}

impl Default for DirectMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn saturating_i64(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Resident memory of this process; 0 if the system does not report it.
fn resident_bytes() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
