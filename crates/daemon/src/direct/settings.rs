//! Settings of the direct mode, read from the JSON settings file.
//!
//! All faults of a file are collected and reported together. A key that is absent from the file has a default, except
//! for names and addresses.

use crate::options::{
    LogSettings, SectionReader, SettingsError, parse_settings, read_log_settings,
};
use hoplanding_core::{
    direct::{
        answer_budget::BufferRule,
        freshness::RevocationRule,
        lease::LeaseTimeouts,
        millis,
        policy::{PlacementPolicy, ScarcityPolicy, SlotAdmission},
        quotas::QuotaBounds,
        restore_guard::RewriteRule,
        retry_budget::RetryBudgetRule,
        return_schedule::ReturnRule,
        trials::TrialRule,
        zone_choice::ZoneChoiceRule,
    },
    ids::{AvailabilityZone, VmName},
};
use serde_json::Value;
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Share of `pace.config_bound_ms`, the time within which a new configuration has to be in force, that is reserved for
/// reading it and forwarding it to other VMs.
const CONFIG_MARGIN: Duration = Duration::from_millis(600);

/// Share of `recovery.bound_s`, the time within which callers have to be served again after the loss of all VMs, that
/// is reserved for starting up.
const STARTUP_MARGIN: Duration = Duration::from_secs(3);

/// Share of `pace.stop_grace_s`, the time from the stop signal until the platform ends the process by force, that is
/// reserved for the end of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Longest notice of a planned stop by default: two checks of the load balancer, one a second, and the calls of its callers.
const MAX_NOTICE: Duration = Duration::from_millis(2_500);

/// Bytes of the unit of memory sizes in the file.
const MEBIBYTE: f64 = (1 << 20) as f64;

/// Settings of a daemon in direct mode.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// The name of this VM.
    pub vm: VmName,
    /// The availability zone of this VM.
    pub zone: AvailabilityZone,
    /// CPU of this VM in thousandths of a core (`cores` in the file).
    pub cpu_millicores: u32,
    /// Address on which callers are accepted.
    pub caller_address: SocketAddr,
    /// Address of the load balancer's readiness check.
    pub ready_address: SocketAddr,
    /// Address on which links of other VMs are accepted.
    pub peer_address: SocketAddr,
    /// Address of this VM from which it connects to targets; `None` leaves the choice to the operating system.
    pub target_source_address: Option<IpAddr>,
    /// Address of the metrics page; `None` serves no metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's log.
    pub platform_address: SocketAddr,
    /// All availability zones of the fleet.
    pub zones: Vec<AvailabilityZone>,
    /// Whether the whole fleet starts for the first time, before there are callers (`first_start` in the file).
    pub is_first_start: bool,
    /// Retry budget of the fleet.
    pub retries: RetryBudgetRule,
    /// How long a revoked key may still be accepted; `None` if a VM that has lost contact need not learn of
    /// revocations.
    pub revocation: Option<RevocationRule>,
    /// How long operators take to rewrite the records that a restored log lacks.
    pub recovery: RewriteRule,
    /// Bounds of buffered answers.
    pub answers: BufferRule,
    /// Permitted deviation from quotas.
    pub quotas: QuotaBounds,
    /// Return times of refused calls; `None` if callers are told when the next unit is free.
    pub returns: Option<ReturnRule>,
    /// Whether targets of plain services are slow or silent at times (`plain.uneven` in the file).
    pub has_uneven_targets: bool,
    /// Pauses before trials of suspected requests.
    pub trials: TrialRule,
    /// Timeouts of the zone leases.
    pub leases: LeaseTimeouts,
    /// Whether engines reject orders with a fencing token older than one they have seen (`orders_fenced` in the file).
    pub has_order_fencing: bool,
    /// Weights and limits of placement decisions.
    pub policy: PlacementPolicy,
    /// Weights of the choice of another zone; `None` if zones report no shortage and none is chosen by reports.
    pub zone_choice: Option<ZoneChoiceRule>,
    /// Intervals and timeouts (`pace` in the file).
    pub timing: TimingSettings,
    /// Log output.
    pub log: LogSettings,
}

/// Intervals and timeouts of the direct mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// Interval between reads of the target list.
    pub list_interval: Duration,
    /// Minimum interval between reads of the configuration.
    pub min_config_interval: Duration,
    /// Maximum time for which a zone holder's read of the configuration waits for a change.
    pub max_config_wait: Duration,
    /// Timeout of a request to the platform's log.
    pub platform_timeout: Duration,
    /// Time from the stop signal until the daemon starts to close open connections (`stop_notice_ms` in the file).
    pub drain_delay: Duration,
    /// Maximum time from the stop signal to the exit (`stop_bound_ms` in the file; by default a little less than
    /// `stop_grace_s`, after which the platform ends the process by force).
    pub stop_timeout: Duration,
}

impl DirectSettings {
    /// Whether the text of a settings file selects the direct mode.
    #[must_use]
    pub fn is_direct_mode(text: &str) -> bool {
        serde_json::from_str::<Value>(text)
            .is_ok_and(|value| value.get("mode").and_then(Value::as_str) == Some("direct"))
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// Returns [`SettingsError::InvalidJson`] if the text is not JSON, else all faults with their keys, values and remedies.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        parse_settings(text, read_settings)
    }
}

fn read_settings(root: &SectionReader<'_>) -> DirectSettings {
    root.choice("mode", "direct", &["direct"]);
    DirectSettings {
        vm: VmName::new(&root.text("vm", "write the name of this VM")),
        zone: AvailabilityZone::new(&root.text("zone", "write the name of its availability zone")),
        cpu_millicores: (root.fraction("cores", 1.0, 0.001, 1024.0) * 1000.0) as u32,
        caller_address: root.address("caller_address"),
        ready_address: root.address("ready_address"),
        peer_address: root.address("peer_address"),
        target_source_address: root.optional_ip("target_source_address"),
        metrics_address: root.optional_address("metrics_address"),
        platform_address: root.address("platform_address"),
        zones: root
            .text_list("zones", "write the names of all availability zones")
            .iter()
            .map(|zone| AvailabilityZone::new(zone))
            .collect(),
        is_first_start: root.boolean("first_start"),
        retries: root.section("retries", read_retries),
        revocation: root.section("revocation", read_revocation),
        recovery: root.section("recovery", read_recovery),
        answers: root.section("answers", read_answers),
        quotas: root.section("quotas", read_quotas),
        returns: root.section("returns", read_returns),
        has_uneven_targets: root.section("plain", |section| section.boolean("uneven")),
        trials: root.section("trials", read_trials),
        leases: root.section("leases", read_leases),
        has_order_fencing: root.boolean("orders_fenced"),
        policy: PlacementPolicy {
            admission: root.section("admission", read_admission),
            ..read_adapters(root, root.section("policy", read_policy))
        },
        zone_choice: root.section("zone_choice", read_zone_choice),
        timing: root.section("pace", read_timing),
        log: root.section("log", read_log_settings),
    }
}

fn read_retries(section: &SectionReader<'_>) -> RetryBudgetRule {
    RetryBudgetRule {
        ratio: section.fraction("ratio", 0.2, 0.0, 1e6),
        extra_retries: section.fraction("slack", 50.0, 0.0, 1e9),
        window: Duration::from_secs_f64(section.fraction("window_s", 10.0, 0.1, 86_400.0)),
    }
}

fn read_revocation(section: &SectionReader<'_>) -> Option<RevocationRule> {
    let bound = section.fractional_millis("bound_ms", 5000, 500, 86_400_000);
    section
        .boolean("strict")
        .then_some(RevocationRule { bound })
}

fn read_recovery(section: &SectionReader<'_>) -> RewriteRule {
    let recovery_bound = Duration::from_secs_f64(section.fraction("bound_s", 15.0, 0.0, 86_400.0));
    RewriteRule {
        rewrite_time: recovery_bound.saturating_sub(STARTUP_MARGIN),
    }
}

fn read_answers(section: &SectionReader<'_>) -> BufferRule {
    let defaults = BufferRule::default();
    let megabytes = |name, bytes: usize| {
        let default = bytes as f64 / MEBIBYTE;
        (section.fraction(name, default, 0.01, 1e6) * MEBIBYTE) as usize
    };
    BufferRule {
        max_answer_bytes: megabytes("max_mb", defaults.max_answer_bytes),
        max_total_bytes: megabytes("buffered_mb", defaults.max_total_bytes),
    }
}

fn read_quotas(section: &SectionReader<'_>) -> QuotaBounds {
    QuotaBounds {
        window: Duration::from_secs_f64(section.fraction("window_s", 10.0, 0.1, 86_400.0)),
        tolerance_ratio: section.fraction("over", 0.1, 0.0, 10.0),
        tolerance_units: section.fraction("slack", 0.0, 0.0, 1e15),
    }
}

fn read_returns(section: &SectionReader<'_>) -> Option<ReturnRule> {
    let rule = ReturnRule {
        max_wait: section.fractional_millis("max_wait_ms", 5_000, 100, 600_000),
        urgent_reserve: section.fractional_millis("urgent_reserve_ms", 500, 0, 60_000),
    };
    section.boolean("enabled").then_some(rule)
}

fn read_trials(section: &SectionReader<'_>) -> TrialRule {
    TrialRule {
        pause: section.fractional_millis("pause_ms", 30_000, 0, 86_400_000),
        long_pause: section.fractional_millis("long_pause_ms", 3_600_000, 0, 86_400_000),
        part_pause: section.fractional_millis("part_pause_ms", 5_000, 0, 86_400_000),
    }
}

fn read_leases(section: &SectionReader<'_>) -> LeaseTimeouts {
    LeaseTimeouts {
        holder_timeout: section.fractional_millis("silence_ms", 1500, 100, 60_000),
        stagger: section.fractional_millis("stagger_ms", 120, 0, 10_000),
        handover_delay: section.fractional_millis("turn_ms", 3000, 0, 600_000),
    }
}

/// Reads the weights and limits of placement decisions; docs/POLICY.md explains each default.
fn read_policy(section: &SectionReader<'_>) -> PlacementPolicy {
    let defaults = PlacementPolicy::default();
    let fraction = |name, value| section.fraction(name, value, 0.0, 100.0);
    let span = |name, value: Duration| {
        let default_ms = u64::try_from(value.as_millis()).unwrap_or(u64::MAX);
        section.fractional_millis(name, default_ms, 0, 600_000)
    };
    let count = |name, value: usize| section.number(name, value as u64, 0, 100_000) as usize;
    let [urgent, normal, batch] = defaults.max_wait_factors;
    PlacementPolicy {
        home_wait_fraction: fraction("swift_part", defaults.home_wait_fraction),
        max_wait_factors: [
            fraction("bearable_urgent", urgent),
            fraction("bearable_normal", normal),
            fraction("bearable_batch", batch),
        ],
        popular_rate_per_s: fraction("popular_per_s", defaults.popular_rate_per_s),
        remote_zone_penalty: span("away_price_ms", defaults.remote_zone_penalty),
        load_penalty: span("load_price_ms", defaults.load_penalty),
        reload_penalty: span("reload_price_ms", defaults.reload_penalty),
        cache_fetch_time: span("fetch_time_ms", defaults.cache_fetch_time),
        min_fetch_saving: span("fetch_gain_ms", defaults.min_fetch_saving),
        max_recent_adapters: count("lately_kept", defaults.max_recent_adapters),
        crowded_slot_fraction: fraction("crowded_places", defaults.crowded_slot_fraction),
        crowded_backlog: span("crowded_backlog_ms", defaults.crowded_backlog),
        crowding_call_fraction: fraction("crowding_part", defaults.crowding_call_fraction),
        hot_adapter_fraction: fraction("sought_part", defaults.hot_adapter_fraction),
        speculative_load_fraction: fraction("spare_part", defaults.speculative_load_fraction),
        busy_fraction: fraction("busy_part", defaults.busy_fraction),
        degraded_penalty: span("doubt_price_ms", defaults.degraded_penalty),
        failure_penalty: span("failing_price_ms", defaults.failure_penalty),
        shed_penalty: span("shed_price_ms", defaults.shed_penalty),
        ..defaults
    }
}

/// Reads how adapters are loaded when slots are scarce.
fn read_adapters(root: &SectionReader<'_>, policy: PlacementPolicy) -> PlacementPolicy {
    let defaults = ScarcityPolicy::default();
    let first_load_ms = u64::try_from(defaults.first_load_time.as_millis()).unwrap_or(u64::MAX);
    let scarcity = root.section("adapters", |section| ScarcityPolicy {
        min_adapters_per_slot: section.number("min_adapters_per_slot", 0, 0, 1_000_000) as u32,
        learns_recent_adapters: section.boolean("learn_recent"),
        order_repeats: section.number("repeat_orders", 0, 0, 10) as u32,
        loads_per_model_load: section.fraction(
            "loads_per_model_load",
            defaults.loads_per_model_load,
            0.0,
            1e3,
        ),
        first_load_time: section.fractional_millis("first_load_ms", first_load_ms, 10, 20_000),
    });
    PlacementPolicy { scarcity, ..policy }
}

/// Reads the weights of the choice of another zone; docs/POLICY.md explains each default.
fn read_zone_choice(section: &SectionReader<'_>) -> Option<ZoneChoiceRule> {
    let rule = ZoneChoiceRule {
        traffic_price_ms_per_kb: section.fraction("traffic_price_ms_per_kb", 0.5, 0.0, 1_000.0),
        max_remote_share: section.fraction("max_remote_share", 0.5, 0.0, 1.0),
        weighs_engines: section.boolean("engines"),
    };
    section.boolean("enabled").then_some(rule)
}

fn read_admission(section: &SectionReader<'_>) -> Option<SlotAdmission> {
    let defaults = SlotAdmission::default();
    let admission = SlotAdmission {
        max_queued: section.number("max_queued", defaults.max_queued as u64, 1, 100_000) as usize,
        urgent_share: section.fraction("urgent_share", defaults.urgent_share, 0.0, 1.0),
    };
    section.boolean("queue").then_some(admission)
}

fn read_timing(section: &SectionReader<'_>) -> TimingSettings {
    let grace = Duration::from_secs_f64(section.fraction("stop_grace_s", 8.0, 0.0, 86_400.0));
    let stop_timeout = grace - EXIT_MARGIN.min(grace / 4);
    let stop_timeout = section.fractional_millis(
        "stop_bound_ms",
        u64::from(millis(stop_timeout)),
        100,
        86_400_000,
    );
    let notice = MAX_NOTICE.min(stop_timeout / 3);
    TimingSettings {
        list_interval: section.fractional_millis("list_every_ms", 1000, 10, 60_000),
        min_config_interval: section.fractional_millis("config_every_ms", 200, 0, 60_000),
        max_config_wait: section
            .fractional_millis("config_bound_ms", 2000, 0, 86_400_000)
            .saturating_sub(CONFIG_MARGIN),
        platform_timeout: section.fractional_millis("platform_timeout_ms", 900, 10, 60_000),
        drain_delay: section.fractional_millis(
            "stop_notice_ms",
            u64::from(millis(notice)),
            0,
            60_000,
        ),
        stop_timeout,
    }
}
