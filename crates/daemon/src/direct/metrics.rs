//! Counts of this VM, as a page in the text format that collectors read.
//!
//! `cadence` counts towards statsd and knows no such page, so the direct mode counts with `prometheus-client`.

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
        planner::CacheTransfer,
        quotas::BucketCounts,
        versions::{CacheVersions, VersionAge, VersionMatch},
    },
    ids::OrganisationName,
};
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use std::{cmp::Reverse, fs, time::Duration};

/// Upper bounds of the histograms' buckets, in seconds: what the users' objectives and deadlines lie between.
const BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10.0];
/// Organisations that the page names.
const ORGANISATIONS_MOST: usize = 64;
/// Bytes of a page of memory, as `/proc/self/statm` counts them.
const PAGE_BYTES: u64 = 4096;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestKind {
    /// Its answer is a stream of events.
    Stream,
    /// It may run more than once.
    Idempotent,
    /// It may run once.
    Once,
    /// Its host and path have no route.
    Unrouted,
}

impl RequestKind {
    /// The kind that a route's requests are of.
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
    /// Its whole answer went out.
    Answered,
    /// A target's own failure went out.
    TargetFailed,
    /// It was refused as not run.
    Refused,
    /// It may have run, and its answer was lost.
    Lost,
    /// Its stream broke off.
    BrokenOff,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: RequestKind,
    outcome: RequestOutcome,
}

/// What came of a call to the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum LogOutcome {
    /// It was answered.
    Answered,
    /// It was refused, or had no answer.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LogLabels {
    topic: &'static str,
    outcome: LogOutcome,
}

/// Why a record is passed on to another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ForwardReason {
    /// It is news.
    News,
    /// The other VM has asked for it.
    Answer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PassLabels {
    reason: ForwardReason,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EntryLabels {
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
struct RepeatLabels {
    allowed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MoveLabels {
    versions: &'static str,
    told: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    stage: &'static str,
}

/// Counts of this VM.
#[derive(Debug)]
pub struct DirectMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    repeats: Family<RepeatLabels, Counter>,
    entries: Family<EntryLabels, Counter>,
    quotas: Family<QuotaLabels, Gauge>,
    suspects: Family<SuspectLabels, Gauge>,
    log_calls: Family<LogLabels, Counter>,
    passed: Family<PassLabels, Counter>,
    placing: Histogram,
    first_event: Histogram,
    targets: Family<StageLabels, Gauge>,
    doubted: Gauge,
    moves: Family<MoveLabels, Counter>,
    in_flight: Gauge,
    config_version: Gauge,
    vms: Gauge,
    is_holder: Gauge,
    lines_dropped: Gauge,
    memory: Gauge,
}

impl DirectMetrics {
    /// Counts that begin at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("hoplanding"),
            requests: Family::default(),
            repeats: Family::default(),
            entries: Family::default(),
            quotas: Family::default(),
            suspects: Family::default(),
            log_calls: Family::default(),
            passed: Family::default(),
            placing: Histogram::new(BUCKETS),
            first_event: Histogram::new(BUCKETS),
            targets: Family::default(),
            doubted: Gauge::default(),
            moves: Family::default(),
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
            "repeats",
            "Repeats asked of the retry budget",
            self.repeats.clone(),
        );
        registry.register(
            "key_refusals",
            "Requests that were not let in for their key, by cause",
            self.entries.clone(),
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
            "records_passed",
            "Records of the platform's log passed on to other VMs, by reason",
            self.passed.clone(),
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
        registry.register("targets", "Targets by stage", self.targets.clone());
        registry.register(
            "targets_doubted",
            "Targets whose removal is in doubt",
            self.doubted.clone(),
        );
        registry.register(
            "prompt_moves",
            "Prompts of which another target has read parts, by how the versions of both stand and whether the parts move",
            self.moves.clone(),
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

    /// A request ended.
    pub fn count_request(&self, kind: RequestKind, outcome: RequestOutcome) {
        let labels = RequestLabels { kind, outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// A request was not let in for its key.
    pub fn count_entry_fault(&self, fault: AdmissionFault) {
        let cause = fault.label();
        self.entries.get_or_create(&EntryLabels { cause }).inc();
    }

    /// What a zone's holder has paid out of organisations' quotas; of those that asked for most, so that their number is bounded.
    pub fn set_quota_counts<'a>(
        &self,
        counts: impl Iterator<Item = (&'a OrganisationName, BucketCounts)>,
    ) {
        let mut counts: Vec<_> = counts.collect();
        counts.sort_by_key(|(name, counts)| (Reverse(counts.paid + counts.refused), *name));
        counts.truncate(ORGANISATIONS_MOST);
        self.quotas.clear();
        for (name, counts) in counts {
            for (outcome, units) in [("paid", counts.paid), ("refused", counts.refused)] {
                let organisation = name.to_string();
                let labels = QuotaLabels {
                    organisation,
                    outcome,
                };
                self.quotas.get_or_create(&labels).set(signed(units));
            }
        }
    }

    /// Requests that a zone's holder suspects, and those of them that it sends nowhere.
    pub fn set_suspect_counts(&self, (suspected, quarantined): (usize, usize)) {
        for (state, count) in [("suspected", suspected), ("sent_nowhere", quarantined)] {
            let labels = SuspectLabels { state };
            self.suspects
                .get_or_create(&labels)
                .set(signed(count as u64));
        }
    }

    /// A repeat was asked for.
    pub fn count_repeat(&self, allowed: bool) {
        self.repeats.get_or_create(&RepeatLabels { allowed }).inc();
    }

    /// An engine could take parts of a prompt from another one, and is told to or not.
    pub fn count_prompt_move(&self, moved: &CacheTransfer) {
        let now = clock::now();
        let versions = match moved.version_match() {
            VersionMatch::Same => "same",
            VersionMatch::Different => "unlike",
            VersionMatch::Unknown => "unknown",
        };
        let told = moved.is_permitted;
        let labels = MoveLabels { versions, told };
        self.moves.get_or_create(&labels).inc();
        let known = |versions: &CacheVersions| {
            let [base, adapter] = [versions.base, versions.adapter].map(|sight| VersionAge {
                observed: sight,
                now,
            });
            format!("base {base}, adapter {adapter}")
        };
        event!(
            Event::KvFetchOffered,
            "{}#{}: {} from {} ({}) to {} ({}), named {:?}, told {told}",
            moved.key.vm,
            moved.key.number,
            moved.subject,
            moved.source,
            known(&moved.source_versions),
            moved.target,
            known(&moved.target_versions),
            moved.named_version
        );
    }

    /// The log was called.
    pub fn count_log_call(&self, topic: &'static str, outcome: LogOutcome) {
        let labels = LogLabels { topic, outcome };
        self.log_calls.get_or_create(&labels).inc();
    }

    /// Records were passed on to another VM.
    pub fn count_forwarded_records(&self, reason: ForwardReason, records: usize) {
        let labels = PassLabels { reason };
        self.passed.get_or_create(&labels).inc_by(records as u64);
    }

    /// A request was given a target after this time.
    pub fn note_placing(&self, held: Duration) {
        self.placing.observe(held.as_secs_f64());
    }

    /// A stream's first event went out after this time.
    pub fn note_first_event(&self, held: Duration) {
        self.first_event.observe(held.as_secs_f64());
    }

    /// The page, with what the books say now.
    #[must_use]
    pub fn page(&self, fleet: &FleetState) -> String {
        self.take_books(fleet);
        self.lines_dropped.set(signed(dropped_lines() as u64));
        self.memory.set(signed(resident_bytes()));
        let mut page = String::new();
        if let Err(error) = encode(&mut page, &self.registry) {
            event!(Event::MetricsWriteFailed, "{error}");
        }
        page
    }

    fn take_books(&self, fleet: &FleetState) {
        let tables = fleet.tables();
        for (stage, name) in [
            (TargetStage::Ready, "ready"),
            (TargetStage::Draining, "draining"),
        ] {
            let count = tables.catalog.iter().filter(|entry| entry.stage == stage);
            let gauge = self.targets.get_or_create(&StageLabels { stage: name });
            gauge.set(signed(count.count() as u64));
        }
        self.doubted
            .set(signed(tables.catalog.pending_removals() as u64));
        let in_flight: u32 = tables.in_flight.values().sum();
        self.in_flight.set(i64::from(in_flight));
        let version = tables
            .active
            .as_ref()
            .map_or(0, |active| active.config.version);
        self.config_version.set(signed(version));
        self.vms.set(signed(tables.vms.len() as u64));
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

fn signed(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Resident memory of this process; 0 where the system does not tell.
fn resident_bytes() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
